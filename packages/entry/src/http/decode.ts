/** Decodes parts of a request by schemas. A fault becomes a `DispatchError` whose detail names the faulty place. */
import { DispatchError, type ErrorKind } from '@baobabpost/common'
import { Result, Schema } from 'effect'

const MAXIMUM_DETAIL_CHARACTERS = 500

/**
 * Creates a decoder that throws a `DispatchError` of the given kind for input that the schema rejects.
 *
 * @example
 * const decodeJob = createDecoder(JobRequest, 'malformed-request')
 */
export function createDecoder<S extends Schema.Codec<unknown>> (
  schema: S, kind: ErrorKind
): (input: unknown) => S['Type'] {
  const decode = Schema.decodeUnknownResult(schema, { errors: 'first', onExcessProperty: 'error' })
  return input => {
    const decoded = decode(input)
    if (Result.isSuccess(decoded)) return decoded.success
    const detail = decoded.failure.message.replaceAll(/\s+/g, ' ').slice(0, MAXIMUM_DETAIL_CHARACTERS)
    throw new DispatchError({ kind, detail })
  }
}
