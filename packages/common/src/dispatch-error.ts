/** The error class that carries an error kind through the program. */
import { Data } from 'effect'
import type { ErrorKind } from './error-kinds.js'

/** What a `DispatchError` says. */
export interface DispatchErrorFields {
  readonly kind: ErrorKind
  /** One sentence about this very error, without secrets. */
  readonly detail: string
  /** When to ask again, if that helps. */
  readonly retryAfterMilliseconds?: number
}

/**
 * An error of the closed list.
 *
 * @example
 * throw new DispatchError({ kind: 'not-run', detail: 'The queue is full', retryAfterMilliseconds: 500 })
 */
export class DispatchError extends Data.TaggedError('DispatchError')<DispatchErrorFields> {
  override get message (): string {
    return `${this.kind}: ${this.detail}`
  }
}
