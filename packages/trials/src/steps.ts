/** The steps in the life of a submission and of a single call, at each of which every fault strikes. */
import type { LinkMessage, LinkMethod } from '@baobabpost/messages'

/** What a step is recognised by. */
export type StepMark =
  /** A message of this kind about the work is sent; the fault strikes before it arrives. */
  | { readonly kind: 'message', readonly method: LinkMethod, readonly occurrence: number }
  /** This long after the work arrived. */
  | { readonly kind: 'time', readonly milliseconds: number }
  /** The upstream has started the work. */
  | { readonly kind: 'start', readonly milliseconds: number }

/** One step. */
export interface LifeStep {
  readonly name: string
  readonly trigger: StepMark
}

/** Steps of a submission that arrives at an entry which does not own it. */
export const SUBMISSION_STEPS: readonly LifeStep[] = [
  { name: 'arrives', trigger: { kind: 'time', milliseconds: 0 } },
  { name: 'is forwarded to its owner', trigger: { kind: 'message', method: 'forward', occurrence: 1 } },
  { name: 'is dispatched', trigger: { kind: 'message', method: 'dispatch', occurrence: 1 } },
  { name: 'is dispatched in part', trigger: { kind: 'message', method: 'dispatch', occurrence: 2 } },
  { name: 'starts', trigger: { kind: 'start', milliseconds: 0 } },
  { name: 'runs', trigger: { kind: 'start', milliseconds: 50 } },
  { name: 'is reported in part', trigger: { kind: 'message', method: 'report', occurrence: 1 } },
  { name: 'is reported further', trigger: { kind: 'message', method: 'report', occurrence: 3 } },
  { name: 'is acknowledged', trigger: { kind: 'message', method: 'acknowledge', occurrence: 2 } },
  { name: 'is answered', trigger: { kind: 'message', method: 'forwarded', occurrence: 1 } },
  { name: 'is over', trigger: { kind: 'time', milliseconds: 4_000 } }
]

/** Steps of a single call that must run at most once. */
export const CALL_STEPS: readonly LifeStep[] = [
  { name: 'arrives', trigger: { kind: 'time', milliseconds: 0 } },
  { name: 'is dispatched', trigger: { kind: 'message', method: 'dispatch', occurrence: 1 } },
  { name: 'starts', trigger: { kind: 'start', milliseconds: 0 } },
  { name: 'runs', trigger: { kind: 'start', milliseconds: 50 } },
  { name: 'is reported', trigger: { kind: 'message', method: 'report', occurrence: 1 } },
  { name: 'is acknowledged', trigger: { kind: 'message', method: 'acknowledge', occurrence: 1 } },
  { name: 'is over', trigger: { kind: 'time', milliseconds: 4_000 } }
]

/** Whether a message is about work whose names satisfy the condition; acknowledgements are about any work. */
export function isAbout (message: LinkMessage, matchesSubmission: (submission: string) => boolean): boolean {
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
