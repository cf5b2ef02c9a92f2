/** Failure of a call to another process. */

/**
 * Why a call failed.
 *
 * - `refused`: nothing listens at the address, so nothing was taken in and no such process runs there;
 * - `unanswered`: the call may or may not have been taken in;
 * - `rejected`: the other process answered, and not with what was asked for.
 */
export type CallFailure = 'refused' | 'unanswered' | 'rejected'

/** Failure of a call to another process. */
export class CallError extends Error {
  readonly failure: CallFailure

  constructor (failure: CallFailure, message: string) {
    super(message)
    this.name = 'CallError'
    this.failure = failure
  }
}
