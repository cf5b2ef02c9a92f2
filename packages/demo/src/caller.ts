/** HTTP client through which the demo and its tests call entries. */
import { createCaller, type CallerAnswer, type CallerRequest } from '@baobabpost/caller'

export type { CallerAnswer, CallerRequest } from '@baobabpost/caller'

const caller = createCaller({ maxSockets: 200 })

/**
 * Sends a request and reads its complete answer.
 *
 * @example
 * const answer = await send({ method: 'GET', url: entry.url, path: '/readyz' })
 */
export function send (request: CallerRequest): Promise<CallerAnswer> {
  return caller.send(request)
}
