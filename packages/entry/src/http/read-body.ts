/** Reads the body of a request, bounded in bytes and time. */
import type { IncomingMessage } from 'node:http'
import type { GuardedRequest } from '@baobabpost/client-limits'
import { DispatchError } from '@baobabpost/common'
import { MAXIMUM_BODY_BYTES } from '@baobabpost/messages'

/** Time within which the complete body must arrive. */
export const BODY_TIMEOUT_MILLISECONDS = 10_000
/** Time after which a client may come back whose body found no room; others end within milliseconds. */
const NO_ROOM_RETRY_MILLISECONDS = 1_000

function createTooLargeError (): DispatchError {
  return new DispatchError({ kind: 'too-large', detail: `A body has at most ${MAXIMUM_BODY_BYTES} bytes` })
}

/** Nothing of the request ran, but one that may be sent again under its key may have run before. */
function createNoRoomError ({ method }: IncomingMessage): DispatchError {
  return new DispatchError({
    kind: method === 'PUT' ? 'outcome-unknown' : 'not-run',
    detail: 'This entry has no room for the body',
    retryAfterMilliseconds: NO_ROOM_RETRY_MILLISECONDS
  })
}

function parseJson (body: Buffer): unknown {
  if (body.length === 0) return undefined
  try {
    return JSON.parse(body.toString('utf8'))
  } catch {
    throw new DispatchError({ kind: 'malformed-request', detail: 'The body is not JSON' })
  }
}

/**
 * Reads and parses a JSON body; returns undefined if there is none. To be called while the request is handed over.
 *
 * @throws DispatchError of kind `too-large`, `malformed-request` or `request-timeout`, or `not-run` or
 * `outcome-unknown` if the server has no room for the body.
 */
export async function readBody (
  incoming: IncomingMessage, request: GuardedRequest, timeoutMilliseconds: number = BODY_TIMEOUT_MILLISECONDS
): Promise<unknown> {
  if (Number(incoming.headers['content-length'] ?? 0) > MAXIMUM_BODY_BYTES) throw createTooLargeError()
  let timeout: NodeJS.Timeout | undefined
  try {
    const body = await new Promise<Buffer>((resolve, reject) => {
      timeout = setTimeout(() => {
        reject(new DispatchError({ kind: 'request-timeout', detail: 'The body did not arrive whole in time' }))
      }, timeoutMilliseconds)
      const onClose = (): void => {
        reject(new DispatchError({ kind: 'malformed-request', detail: 'The connection ended before the body did' }))
      }
      incoming.on('close', onClose).on('error', onClose)
      request.readBody({
        maximumBytes: MAXIMUM_BODY_BYTES,
        onWhole: resolve,
        onTooLarge: () => { reject(createTooLargeError()) },
        onRefused: () => { reject(createNoRoomError(incoming)) }
      })
    })
    return parseJson(body)
  } finally {
    clearTimeout(timeout)
    request.releaseBody()
  }
}
