/** `GET /livez`: whether the process runs. */
import type { Route } from '../http/route.js'

export function createLivenessRoute (): Route {
  return {
    method: 'GET',
    path: '/livez',
    access: 'open',
    about: 'Reports that the process runs',
    handle: () => ({ status: 200, body: { live: true } })
  }
}
