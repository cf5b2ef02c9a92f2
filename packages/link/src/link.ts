/** Contract of a link, by which a process of the system exchanges messages with the others. */
import type { ClientGuard } from '@baobabpost/client-limits'
import type { Logger, Metrics, ProcessIdentity } from '@baobabpost/common'
import type { LinkMessage } from '@baobabpost/messages'

export interface LinkOptions {
  readonly identity: ProcessIdentity
  /** `IP:PORT` to listen on; port 0 selects any free port. */
  readonly listenAddress: string
  /** `IP:PORT` at which others reach this process; by default the address that it listens on. */
  readonly advertisedAddress?: string
  /** Shared keys: outgoing batches are signed with the first, incoming batches may be signed with any. */
  readonly keys: readonly string[]
  readonly logger: Logger
  readonly metrics: Metrics
  /** Limits on what its clients may make the process hold; those of a process without settings by default. */
  readonly guard?: ClientGuard
  /** Receives every message that is complete, authenticated and valid by its schema. */
  readonly onMessage: (from: ProcessIdentity, fromAddress: string, message: LinkMessage) => void
  /**
   * Called for a message that certainly was not processed: the connection was refused before a byte was written, or the
   * process that listens there is not the addressee.
   */
  readonly onUndelivered?: (to: ProcessIdentity, message: LinkMessage) => void
}

/** Totals of what a link has sent since it was opened. */
export interface LinkStatistics {
  readonly messages: number
  /** HTTP requests that carried the messages. */
  readonly batches: number
  /** Total length of the request bodies. */
  readonly bytes: number
}

/** A link. Messages sent to one peer within one turn of the event loop travel as one batch. */
export interface Link {
  /** `IP:PORT` at which others reach this process. */
  readonly address: string
  /**
   * Sends to a peer whose address is known from `setPeer` or from the peer's own messages; otherwise drops the message.
   * A process with another identity at that address rejects it.
   */
  send: (to: ProcessIdentity, message: LinkMessage) => void
  /** Sends to whichever process listens at the address. */
  sendToAddress: (address: string, message: LinkMessage) => void
  setPeer: (identity: ProcessIdentity, address: string) => void
  forgetPeer: (identity: ProcessIdentity) => void
  statistics: () => LinkStatistics
  /** Sends the queued messages, then closes. */
  close: () => Promise<void>
}
