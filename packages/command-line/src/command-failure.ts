/** Error class of the command line. */
import type { Problem } from '@baobabpost/messages'
import { Data } from 'effect'
import { exitNameForErrorKind, type ExitName } from './exit-codes.js'

export interface CommandFailureFields {
  /** Name of the exit code. */
  readonly exit: ExitName
  /** One sentence about what went wrong, without secrets. */
  readonly detail: string
  /** What the operator may do next. */
  readonly next?: string
  /** Error answer of the entry, if the entry gave one. */
  readonly problem?: Problem
}

/**
 * Failure of a command, with the exit code and a hint for the operator.
 *
 * @example
 * throw new CommandFailure({ exit: 'usage', detail: "The file 'job.json' is not valid JSON" })
 */
export class CommandFailure extends Data.TaggedError('CommandFailure')<CommandFailureFields> {
  override get message (): string {
    return this.detail
  }
}

/** Converts the error answer of an entry into a failure. */
export function failureFromProblem (problem: Problem): CommandFailure {
  const retryMilliseconds = problem.retryAfterMilliseconds
  const retryText = retryMilliseconds === undefined ? '' : ` Time to wait: ${retryMilliseconds} ms.`
  return new CommandFailure({
    exit: exitNameForErrorKind(problem.kind), detail: `${problem.kind}: ${problem.detail}`, next: problem.next + retryText, problem
  })
}
