/** The fence: rules that are checked at the very moment of each start. */
import type { NotRunReason } from '@baobabpost/messages'

/** What the rules look at. Times are Unix milliseconds. */
export interface StartContext {
  readonly now: number
  /** Epoch under which the task was dispatched; 0 for single calls. */
  readonly epoch: number
  /** Highest epoch seen for its partition; 0 for single calls. */
  readonly highestEpoch: number
  readonly startBefore: number
  readonly leaseUntil: number
  readonly leaving: boolean
}

/** One rule. */
export interface StartRule {
  /** What is said of a task that the rule refuses. */
  readonly reason: NotRunReason
  refuses: (facts: StartContext) => boolean
}

/** All rules, in the order in which they are checked. */
export const START_RULES: readonly StartRule[] = [
  { reason: 'stale-epoch', refuses: facts => facts.epoch < facts.highestEpoch },
  { reason: 'leaving', refuses: facts => facts.leaving },
  { reason: 'lease-lapsed', refuses: facts => facts.now >= facts.leaseUntil },
  { reason: 'expired', refuses: facts => facts.now >= facts.startBefore }
]

/**
 * Finds the first rule that refuses a start.
 *
 * @example
 * findRefusal(START_RULES, facts) // 'stale-epoch', or undefined where the task may start
 */
export function findRefusal (rules: readonly StartRule[], facts: StartContext): NotRunReason | undefined {
  for (const rule of rules) {
    if (rule.refuses(facts)) return rule.reason
  }
  return undefined
}
