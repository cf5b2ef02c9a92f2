/** Reads the body of a request, bounded in bytes and time. */
import type { IncomingMessage } from 'node:http'
import { DispatchError } from '@baobabpost/common'
import { MAXIMUM_BODY_BYTES } from '@baobabpost/messages'

/** Time within which the complete body must arrive. */
export const BODY_TIMEOUT_MILLISECONDS = 10_000

function createTooLargeError (): DispatchError {
  return new DispatchError({ kind: 'too-large', detail: `A body has at most ${MAXIMUM_BODY_BYTES} bytes` })
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
 * Reads and parses a JSON body; returns undefined if there is none.
 *
 * @throws DispatchError of kind `too-large`, `malformed-request` or `request-timeout`.
 */
export async function readBody (
  incoming: IncomingMessage, timeoutMilliseconds: number = BODY_TIMEOUT_MILLISECONDS
): Promise<unknown> {
  if (Number(incoming.headers['content-length'] ?? 0) > MAXIMUM_BODY_BYTES) throw createTooLargeError()
  const body = await new Promise<Buffer>((resolve, reject) => {
    const chunks: Buffer[] = []
    let length = 0
    const timeout = setTimeout(() => {
      stopReading()
      reject(new DispatchError({ kind: 'request-timeout', detail: 'The body did not arrive whole in time' }))
    }, timeoutMilliseconds)
    const onData = (chunk: Buffer): void => {
      length += chunk.length
      chunks.push(chunk)
      if (length <= MAXIMUM_BODY_BYTES) return
      stopReading()
      reject(createTooLargeError())
    }
    const onEnd = (): void => {
      stopReading()
      resolve(Buffer.concat(chunks))
    }
    const onClose = (): void => {
      stopReading()
      reject(new DispatchError({ kind: 'malformed-request', detail: 'The connection ended before the body did' }))
    }
    function stopReading (): void {
      clearTimeout(timeout)
      incoming.off('data', onData).off('end', onEnd).off('close', onClose).off('error', onClose)
    }
    incoming.on('data', onData).on('end', onEnd).on('close', onClose).on('error', onClose)
  })
  return parseJson(body)
}
