/** `GET /livez`: whether the process runs. */
import type { Route } from '../http/route.js'

/** Makes the route. */
export function createLivenessRoute (): Route {
  return {
    method: 'GET',
    path: '/livez',
    access: 'open',
    about: 'Tells that the process runs',
    handle: () => ({ status: 200, body: { live: true } })
  }
}
