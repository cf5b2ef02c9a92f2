/** The demonstration's caller of entries. */
import { createCaller, type CallerAnswer, type CallerRequest } from '@baobabpost/caller'

export type { CallerAnswer, CallerRequest } from '@baobabpost/caller'

const caller = createCaller({ maxSockets: 200 })

/**
 * Sends a request and reads its whole answer.
 *
 * @example
 * const answer = await send({ method: 'GET', url: entry.url, path: '/readyz' })
 */
export function send (given: CallerRequest): Promise<CallerAnswer> {
  return caller.send(given)
}
