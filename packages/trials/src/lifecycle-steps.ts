/** Steps in the lifecycle of a submission and of a single call. The matrix injects every fault at each of them. */
import type { LinkMessage, LinkMethod } from '@baobabpost/messages'

/** Event that marks a step. */
export type StepTrigger =
  /** The n-th message of a method about the work is sent; the fault is injected before it arrives. */
  | { readonly kind: 'message', readonly method: LinkMethod, readonly occurrence: number }
  /** A time after the caller sent the work. */
  | { readonly kind: 'time', readonly milliseconds: number }
  /** A time after the first start at an upstream. */
  | { readonly kind: 'start', readonly milliseconds: number }

export interface LifecycleStep {
  readonly name: string
  readonly trigger: StepTrigger
}

/** Steps of a submission received by an entry that does not own it. */
export const SUBMISSION_STEPS: readonly LifecycleStep[] = [
  { name: 'arrives', trigger: { kind: 'time', milliseconds: 0 } },
  { name: 'is forwarded to its owner', trigger: { kind: 'message', method: 'forward', occurrence: 1 } },
  { name: 'is dispatched', trigger: { kind: 'message', method: 'dispatch', occurrence: 1 } },
  { name: 'is dispatched in part', trigger: { kind: 'message', method: 'dispatch', occurrence: 2 } },
  { name: 'starts', trigger: { kind: 'start', milliseconds: 0 } },
  { name: 'runs', trigger: { kind: 'start', milliseconds: 50 } },
  { name: 'is reported in part', trigger: { kind: 'message', method: 'report', occurrence: 1 } },
  { name: 'is reported a third time', trigger: { kind: 'message', method: 'report', occurrence: 3 } },
  { name: 'is acknowledged', trigger: { kind: 'message', method: 'acknowledge', occurrence: 2 } },
  { name: 'is answered', trigger: { kind: 'message', method: 'forwarded', occurrence: 1 } },
  { name: 'has ended', trigger: { kind: 'time', milliseconds: 4_000 } }
]

/** Steps of a non-idempotent single call. */
export const CALL_STEPS: readonly LifecycleStep[] = [
  { name: 'arrives', trigger: { kind: 'time', milliseconds: 0 } },
  { name: 'is dispatched', trigger: { kind: 'message', method: 'dispatch', occurrence: 1 } },
  { name: 'starts', trigger: { kind: 'start', milliseconds: 0 } },
  { name: 'runs', trigger: { kind: 'start', milliseconds: 50 } },
  { name: 'is reported', trigger: { kind: 'message', method: 'report', occurrence: 1 } },
  { name: 'is acknowledged', trigger: { kind: 'message', method: 'acknowledge', occurrence: 1 } },
  { name: 'has ended', trigger: { kind: 'time', milliseconds: 4_000 } }
]

/** Whether a message is about a submission that satisfies the condition; true for every acknowledgement. */
export function isAboutWork (message: LinkMessage, matchesSubmission: (submission: string) => boolean): boolean {
  switch (message.method) {
    case 'dispatch':
      return message.parameters.groups.some(({ header }) => matchesSubmission(header.submission))
    case 'report':
      return message.parameters.submissions.some(({ submission }) => matchesSubmission(submission))
    case 'forward':
    case 'forwarded':
      return matchesSubmission(message.parameters.submission)
    case 'acknowledge':
      return true
    default:
      return false
  }
}
