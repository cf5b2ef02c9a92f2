/** Contract of publishing configuration. */
import type { Problem } from '@baobabpost/messages'
import type { WriteOutcome } from '@baobabpost/platform-log'

/** A publication: sets the register to the value, or removes it with `null`, if its version is `replaces`. */
export interface Publication {
  readonly register: string
  readonly value: unknown
  readonly replaces: number
}

/** What became of a publication. */
export type PublishResult =
  | { readonly kind: 'held', readonly register: string, readonly version: number }
  /** The kind is `malformed-request`, `version-conflict` or `outcome-unknown`. */
  | {
    readonly kind: 'problem'
    readonly register: string
    /** Version in force when the problem was told. */
    readonly version: number
    readonly problem: Problem
  }

/** Publishes configuration at one process. */
export interface Publisher {
  /** Checks and appends; `answer` is called once, perhaps at once. The same publication again is published once. */
  publish: (publication: Publication, now: number, answer: (result: PublishResult) => void) => void
  /** Takes in the outcomes of writes. */
  handleWriteOutcomes: (outcomes: readonly WriteOutcome[]) => void
  /** Answers what the outcomes settled; to be called after `Configuration.changed` took in the batch. */
  answerRefusedPublications: () => void
  /** Answers what waited too long with `outcome-unknown`. */
  tick: (now: number) => void
  /** Number of publications without an answer. */
  pendingCount: () => number
}
