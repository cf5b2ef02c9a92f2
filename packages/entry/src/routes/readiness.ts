/** `GET /readyz`: whether the load balancer should route callers to this entry. */
import type { Route } from '../http/route.js'
import type { EntryCore } from '../entry-core.js'

export function createReadinessRoute (core: EntryCore): Route {
  return {
    method: 'GET',
    path: '/readyz',
    access: 'open',
    about: 'Reports whether callers should be routed to this entry',
    handle () {
      const state = core.state()
      return { status: state === 'ready' ? 200 : 503, body: { ready: state === 'ready', state } }
    }
  }
}
