/** What the decisions of an entry are made from. */
import type { EntryIdentity, Invariants, Logger, Metrics, ProcessIdentity, Random } from '@baobabpost/common'
import type { LinkMessage, LogRecord, Outbox } from '@baobabpost/messages'
import type { LogStatus } from '@baobabpost/platform-log'

/** Settings of the decisions of an entry. Times are milliseconds. */
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

/** Settings and ports of the decisions of an entry. */
export interface EntryCoreOptions {
  readonly settings: EntryCoreSettings
  readonly startedAt: number
  readonly send: Outbox['send']
  /** Appends a record and gives its nonce, by which its author finds it on the log. */
  readonly append: (changes: LogRecord['changes']) => string
  readonly logStatus: () => LogStatus
  /** Sends to the link addresses of the settings, whose identities aren't known. */
  readonly sendToSeeds: (message: LinkMessage) => void
  /** Names the address at which a process is reached. */
  readonly setPeer: (identity: ProcessIdentity, address: string) => void
  /** A process is gone for good. */
  readonly forgetPeer: (identity: ProcessIdentity) => void
  readonly random: Random
  readonly invariants: Invariants
  readonly logger: Logger
  readonly metrics: Metrics
}
