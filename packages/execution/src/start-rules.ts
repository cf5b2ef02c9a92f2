/** Start rules, checked when a task arrives and again immediately before its start. */
import type { NotRunReason } from '@baobabpost/messages'

/** Input of the start rules. Times are Unix milliseconds. */
export interface StartContext {
  readonly now: number
  /** Epoch under which the task was dispatched; 0 for single calls. */
  readonly epoch: number
  /** Highest epoch seen for the partition of the task; 0 for single calls. */
  readonly highestEpoch: number
  readonly startBefore: number
  readonly leaseUntil: number
  readonly isLeaving: boolean
  /** Whether an operator has drained this agent. */
  readonly isDrained: boolean
  /** Whether the failure domain of this agent is evacuated. */
  readonly isEvacuated: boolean
}

export interface StartRule {
  /** Reason reported for a task that the rule refuses. */
  readonly reason: NotRunReason
  refuses: (facts: StartContext) => boolean
}

/** All rules, in the order in which they are checked; the first that refuses gives the reason. */
export const START_RULES: readonly StartRule[] = [
  { reason: 'stale-epoch', refuses: facts => facts.epoch < facts.highestEpoch },
  { reason: 'leaving', refuses: facts => facts.isLeaving || facts.isDrained },
  { reason: 'evacuated', refuses: facts => facts.isEvacuated },
  { reason: 'lease-lapsed', refuses: facts => facts.now >= facts.leaseUntil },
  { reason: 'expired', refuses: facts => facts.now >= facts.startBefore }
]

/**
 * Finds the first rule that refuses a start.
 *
 * @example
 * findRefusal(START_RULES, facts) // 'stale-epoch', or undefined if the task may start
 */
export function findRefusal (rules: readonly StartRule[], facts: StartContext): NotRunReason | undefined {
  for (const rule of rules) {
    if (rule.refuses(facts)) return rule.reason
  }
  return undefined
}
