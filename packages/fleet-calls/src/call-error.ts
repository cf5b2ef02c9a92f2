/** Error of the call client. */

/**
 * Why a call failed.
 *
 * - `refused`: nothing listens at the address, so this call was not received; a process may run there;
 * - `unanswered`: the call may or may not have been processed;
 * - `rejected`: the other process answered with an error or an invalid answer.
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
