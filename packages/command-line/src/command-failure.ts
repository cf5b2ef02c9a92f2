/** The error class of the command line: what went wrong, how to exit, and what to do next. */
import type { Problem } from '@baobabpost/messages'
import { Data } from 'effect'
import { exitAfter, type ExitName } from './exit-codes.js'

/** What a failure says. */
export interface CommandFailureFields {
  readonly exit: ExitName
  /** One sentence, without secrets. */
  readonly detail: string
  /** What the operator may do next. */
  readonly next?: string
  /** The entry's answer, where it gave one. */
  readonly problem?: Problem
}

/**
 * A failure of a command.
 *
 * @example
 * throw new CommandFailure({ exit: 'usage', detail: "The file 'job.json' holds no JSON" })
 */
export class CommandFailure extends Data.TaggedError('CommandFailure')<CommandFailureFields> {
  override get message (): string {
    return this.detail
  }
}

/** Makes a failure of an entry's error answer. */
export function failureOf (problem: Problem): CommandFailure {
  const wait = problem.retryAfterMilliseconds
  const later = wait === undefined ? '' : ` Time to wait: ${wait} ms.`
  return new CommandFailure({
    exit: exitAfter(problem.kind), detail: `${problem.kind}: ${problem.detail}`, next: problem.next + later, problem
  })
}
