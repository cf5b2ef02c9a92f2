/** Contract of a link: the way in which a process of the system exchanges messages with the others. */
import type { Logger, Metrics, ProcessIdentity } from '@baobabpost/common'
import type { LinkMessage } from '@baobabpost/messages'

/** What a link needs. */
export interface LinkOptions {
  readonly identity: ProcessIdentity
  /** `IP:PORT` to listen on; port 0 takes any. */
  readonly listenAddress: string
  /** `IP:PORT` at which others reach this process; where it listens by default. */
  readonly advertisedAddress?: string
  /** Shared keys: the first signs, all are accepted. */
  readonly keys: readonly string[]
  readonly logger: Logger
  readonly metrics: Metrics
  /** Receives every message that came whole, authenticated and well-formed. */
  readonly onMessage: (from: ProcessIdentity, fromAddress: string, message: LinkMessage) => void
  /**
   * Told of a message that provably was not taken in: the connection was refused before a byte was written, or the
   * process that listens there is not the one that it was meant for.
   */
  readonly onUndelivered?: (to: ProcessIdentity, message: LinkMessage) => void
}

/** What a link sent since it was opened. */
export interface LinkStatistics {
  readonly messages: number
  /** Requests that carried them. */
  readonly batches: number
  /** Bytes of their bodies. */
  readonly bytes: number
}

/** A link. Messages of one turn of the loop to one peer travel as one batch. */
export interface Link {
  /** `IP:PORT` at which others reach this process. */
  readonly address: string
  /**
   * Sends to a peer whose address is known, from `setPeer` or from its own messages; else the message is dropped.
   * A process with another identity at that address refuses it.
   */
  send: (to: ProcessIdentity, message: LinkMessage) => void
  /** Sends to whichever process listens at the address. */
  sendToAddress: (address: string, message: LinkMessage) => void
  setPeer: (identity: ProcessIdentity, address: string) => void
  forgetPeer: (identity: ProcessIdentity) => void
  statistics: () => LinkStatistics
  /** Sends what waits, then closes. */
  close: () => Promise<void>
}
