/** The steps in the life of a submission and of a single call, at each of which every fault strikes. */
import type { LinkMessage, LinkMethod } from '@baobabpost/messages'

/** What a step is recognised by. */
export type StepTrigger =
  /** A message of this kind about the work is sent; the fault strikes before it arrives. */
  | { readonly kind: 'message', readonly method: LinkMethod, readonly occurrence: number }
  /** This long after the work arrived. */
  | { readonly kind: 'time', readonly milliseconds: number }
  /** The upstream has started the work. */
  | { readonly kind: 'start', readonly milliseconds: number }

/** One step. */
export interface LifecycleStep {
  readonly name: string
  readonly mark: StepTrigger
}

/** Steps of a submission that arrives at an entry which does not own it. */
export const SUBMISSION_STEPS: readonly LifecycleStep[] = [
  { name: 'arrives', mark: { kind: 'time', milliseconds: 0 } },
  { name: 'is forwarded to its owner', mark: { kind: 'message', method: 'forward', occurrence: 1 } },
  { name: 'is dispatched', mark: { kind: 'message', method: 'dispatch', occurrence: 1 } },
  { name: 'is dispatched in part', mark: { kind: 'message', method: 'dispatch', occurrence: 2 } },
  { name: 'starts', mark: { kind: 'start', milliseconds: 0 } },
  { name: 'runs', mark: { kind: 'start', milliseconds: 50 } },
  { name: 'is reported in part', mark: { kind: 'message', method: 'report', occurrence: 1 } },
  { name: 'is reported further', mark: { kind: 'message', method: 'report', occurrence: 3 } },
  { name: 'is acknowledged', mark: { kind: 'message', method: 'acknowledge', occurrence: 2 } },
  { name: 'is answered', mark: { kind: 'message', method: 'forwarded', occurrence: 1 } },
  { name: 'is over', mark: { kind: 'time', milliseconds: 4_000 } }
]

/** Steps of a single call that must run at most once. */
export const CALL_STEPS: readonly LifecycleStep[] = [
  { name: 'arrives', mark: { kind: 'time', milliseconds: 0 } },
  { name: 'is dispatched', mark: { kind: 'message', method: 'dispatch', occurrence: 1 } },
  { name: 'starts', mark: { kind: 'start', milliseconds: 0 } },
  { name: 'runs', mark: { kind: 'start', milliseconds: 50 } },
  { name: 'is reported', mark: { kind: 'message', method: 'report', occurrence: 1 } },
  { name: 'is acknowledged', mark: { kind: 'message', method: 'acknowledge', occurrence: 1 } },
  { name: 'is over', mark: { kind: 'time', milliseconds: 4_000 } }
]

/** Whether a message is about work whose names satisfy the condition; acknowledgements are about any work. */
export function isAboutWork (message: LinkMessage, concerns: (submission: string) => boolean): boolean {
  switch (message.method) {
    case 'dispatch':
      return message.parameters.groups.some(({ header }) => concerns(header.submission))
    case 'report':
      return message.parameters.submissions.some(({ submission }) => concerns(submission))
    case 'forward':
    case 'forwarded':
      return concerns(message.parameters.submission)
    case 'acknowledge':
      return true
    default:
      return false
  }
}
