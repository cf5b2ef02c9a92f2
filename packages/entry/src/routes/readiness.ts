/** `GET /readyz`: whether the balancer should send callers here. */
import type { Route } from '../http/route.js'
import type { EntryCore } from '../entry-core.js'

/** Makes the route. */
export function createReadinessRoute (core: EntryCore): Route {
  return {
    method: 'GET',
    path: '/readyz',
    access: 'open',
    about: 'Tells whether callers should be sent here',
    handle () {
      const state = core.state()
      return { status: state === 'ready' ? 200 : 503, body: { ready: state === 'ready', state } }
    }
  }
}
