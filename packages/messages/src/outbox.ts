/** The way out of decision code: what it wants sent or appended. Neither is known to have arrived. */
import type { ProcessIdentity } from '@baobabpost/common'
import type { LinkMessage } from './link.js'
import type { LogRecord } from './register.js'

/** Port through which a state machine acts on the world. */
export interface Outbox {
  /** Sends a message over a link; it may be lost, late or repeated. */
  send: (to: ProcessIdentity, message: LinkMessage) => void
  /** Appends a record to the platform's log; only reading the log tells whether it took effect. */
  append: (changes: LogRecord['changes']) => void
}
