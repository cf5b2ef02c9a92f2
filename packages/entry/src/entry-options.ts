/** Settings and ports of the decision logic of an entry. */
import type { EntryIdentity, Invariants, Logger, Metrics, ProcessIdentity, Random } from '@baobabpost/common'
import type { LinkMessage, LogRecord, Outbox } from '@baobabpost/messages'
import type { LogStatus } from '@baobabpost/platform-log'

/** Settings of the decision logic of an entry. Times are in milliseconds. */
export interface EntryCoreSettings {
  readonly identity: EntryIdentity
  /** Address of the link. */
  readonly address: string
  readonly failureDomain: string
  /** Name of the policy that applies. */
  readonly policy: string
  readonly keyWindowMilliseconds: number
  readonly clockSkewMilliseconds: number
  readonly logRetentionMilliseconds: number
  readonly maximumQueuedTasks: number
}

export interface EntryCoreOptions {
  readonly settings: EntryCoreSettings
  readonly startedAt: number
  readonly send: Outbox['send']
  /** Appends a record to the platform's log. Returns the nonce by which its author recognizes it there. */
  readonly append: (changes: LogRecord['changes']) => string
  readonly logStatus: () => LogStatus
  /** Sends to the link addresses given in the settings; the identities of the entries there are not known. */
  readonly sendToSeeds: (message: LinkMessage) => void
  /** Sets the address at which a process is reached. */
  readonly setPeer: (identity: ProcessIdentity, address: string) => void
  /** Forgets the address of a process that has left for good. */
  readonly forgetPeer: (identity: ProcessIdentity) => void
  readonly random: Random
  readonly invariants: Invariants
  readonly logger: Logger
  readonly metrics: Metrics
}
