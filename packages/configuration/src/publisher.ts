/** Publications of configuration and their outcomes. */
import type { Problem } from '@baobabpost/messages'
import type { WriteOutcome } from '@baobabpost/platform-log'

/** Sets a register to a value, or removes it if the value is `null`, provided that its version is `replaces`. */
export interface Publication {
  readonly register: string
  readonly value: unknown
  readonly replaces: number
}

/** Outcome of a publication: it was applied (`held`), or a problem. */
export type PublishResult =
  | { readonly kind: 'held', readonly register: string, readonly version: number }
  /** The problem's kind is `malformed-request`, `version-conflict` or `outcome-unknown`. */
  | {
    readonly kind: 'problem'
    readonly register: string
    /** Version in force when the problem was reported. */
    readonly version: number
    readonly problem: Problem
  }

export interface Publisher {
  /** Checks and appends; calls `answer` once, possibly before it returns. Repeating a publication is idempotent. */
  publish: (publication: Publication, now: number, answer: (result: PublishResult) => void) => void
  /** Answers publications that were applied; refused ones wait for `answerRefusedPublications`. */
  handleWriteOutcomes: (outcomes: readonly WriteOutcome[]) => void
  /** Answers publications whose write was refused; call it after the configuration applied the batch. */
  answerRefusedPublications: () => void
  /** Answers publications that have waited for `PUBLISH_TIMEOUT_MILLISECONDS` with `outcome-unknown`. */
  tick: (now: number) => void
  /** Number of unanswered publications. */
  pendingCount: () => number
}
