/** Outcome of one task, with the reasons why it was not run or why its outcome is unknown. */
import { Schema } from 'effect'

/** Reasons why a job, task or call was not run. Closed list. */
export const NOT_RUN_REASONS = [
  'unknown-template',
  'unknown-customer',
  'unknown-parameter',
  'missing-parameter',
  'overloaded',
  'deadline',
  'quota',
  'stopping',
  'no-owner',
  'no-worker',
  'cancelled',
  'withdrawn',
  'stale-epoch',
  'lease-lapsed',
  'expired',
  'leaving',
  'evacuated',
  'window-exceeded',
  'owner-lost'
] as const
export const NotRunReason = Schema.Literals(NOT_RUN_REASONS)
export type NotRunReason = typeof NotRunReason.Type

/** Reasons why an outcome is unknown. Closed list. */
export const UNKNOWN_REASONS = ['agent-lost', 'owner-lost', 'upstream-silent', 'recovering'] as const
export const UnknownReason = Schema.Literals(UNKNOWN_REASONS)
export type UnknownReason = typeof UnknownReason.Type

/** Outcome of one task. */
export const TaskOutcome = Schema.Union([
  Schema.Struct({ status: Schema.Literal('succeeded'), answer: Schema.Unknown }),
  Schema.Struct({ status: Schema.Literal('failed'), detail: Schema.String }),
  Schema.Struct({ status: Schema.Literal('not-run'), reason: NotRunReason }),
  Schema.Struct({ status: Schema.Literal('outcome-unknown'), reason: UnknownReason })
])
export type TaskOutcome = typeof TaskOutcome.Type
