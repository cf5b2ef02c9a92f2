/** Port through which decision code sends messages and appends records. Neither call reports whether it arrived. */
import type { ProcessIdentity } from '@baobabpost/common'
import type { LinkMessage } from './link.js'
import type { LogRecord } from './register.js'

/** Outgoing effects of a state machine. */
export interface Outbox {
  /** Sends a message over a link; it may be lost, delayed or repeated. */
  send: (to: ProcessIdentity, message: LinkMessage) => void
  /** Appends a record to the platform's log; only reading the log shows whether it took effect. */
  append: (changes: LogRecord['changes']) => void
}
