/** Error class for errors that are answered to callers. */
import { Data } from 'effect'
import type { ErrorKind } from './error-kinds.js'

export interface DispatchErrorFields {
  readonly kind: ErrorKind
  /** One sentence about this occurrence of the error, without secrets. */
  readonly detail: string
  /** Time after which a repetition may succeed; absent if repeating does not help. */
  readonly retryAfterMilliseconds?: number
}

/**
 * Error with a kind of the closed list in `error-kinds.ts`.
 *
 * @example
 * throw new DispatchError({ kind: 'not-run', detail: 'The queue is full', retryAfterMilliseconds: 500 })
 */
export class DispatchError extends Data.TaggedError('DispatchError')<DispatchErrorFields> {
  override get message (): string {
    return `${this.kind}: ${this.detail}`
  }
}
