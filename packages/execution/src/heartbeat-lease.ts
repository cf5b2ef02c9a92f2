/** The agent's lease. Its duration counts from the *sending* of the newest heartbeat that an entry acknowledged. */

export interface HeartbeatLease {
  /** Returns the sequence number for a heartbeat that is sent now. */
  nextSequence: (now: number) => number
  /** Sequence number of the newest heartbeat. */
  lastSequence: () => number
  /** Extends the lease after an entry acknowledged a heartbeat. Unknown and expired numbers are ignored. */
  acknowledge: (sequence: number) => void
  /** Ends the lease permanently. */
  revoke: () => void
  /** Unix time until which starts are allowed; 0 before the first acknowledgement and after `revoke`. */
  expiresAt: () => number
  /** Removes the records of heartbeats whose acknowledgement can no longer extend the lease. */
  removeExpired: (now: number) => void
}

/**
 * Creates a lease without an acknowledged heartbeat.
 *
 * @param leaseMilliseconds - Time for which an acknowledged heartbeat allows starts, counted from its sending.
 */
export function createHeartbeatLease (leaseMilliseconds: number): HeartbeatLease {
  const sentAt = new Map<number, number>()
  let sequence = 0
  let expiresAt = 0
  let isRevoked = false
  return {
    nextSequence (now) {
      sequence += 1
      sentAt.set(sequence, now)
      return sequence
    },
    lastSequence: () => sequence,
    acknowledge (acknowledged) {
      const sent = sentAt.get(acknowledged)
      if (isRevoked || sent === undefined) return
      expiresAt = Math.max(expiresAt, sent + leaseMilliseconds)
    },
    revoke () {
      isRevoked = true
      expiresAt = 0
    },
    expiresAt: () => expiresAt,
    removeExpired (now) {
      for (const [number, sent] of sentAt) {
        if (sent + leaseMilliseconds > now) return
        sentAt.delete(number)
      }
    }
  }
}
