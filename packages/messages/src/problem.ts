/** Builds the body of an error answer from the table of error kinds. */
import { errorAnswer, type ErrorKind } from '@baobabpost/common'
import type { Problem } from './caller.js'
import type { NotRunReason } from './outcome.js'

/** Optional fields of a problem. */
export interface ProblemFields {
  readonly reason?: NotRunReason
  readonly retryAfterMilliseconds?: number
}

/**
 * Builds the body of an error answer.
 *
 * @example
 * createProblem('not-run', 'The queue is full', { reason: 'overloaded', retryAfterMilliseconds: 500 })
 */
export function createProblem (kind: ErrorKind, detail: string, fields: ProblemFields = {}): Problem {
  const { title, ran, next } = errorAnswer(kind)
  return { kind, title, detail, ran, next, ...fields }
}
