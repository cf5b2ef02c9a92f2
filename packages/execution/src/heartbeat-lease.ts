/** The agent's lease: it lasts for a while from the *sending* of the newest heartbeat that an entry acknowledged. */

/** Lease by heartbeats. */
export interface HeartbeatLease {
  /** Numbers a heartbeat that is sent now. */
  nextSequence: (now: number) => number
  /** Number of the newest heartbeat. */
  lastSequence: () => number
  /** An entry acknowledged a heartbeat. Numbers that are unknown or too old prolong nothing. */
  acknowledge: (sequence: number) => void
  /** Ends the lease for good. */
  revoke: () => void
  /** Unix time until which starts are allowed; 0 without a lease. */
  until: () => number
  /** Drops the times of heartbeats whose acknowledgement would prolong nothing any more. */
  forget: (now: number) => void
}

/**
 * Makes the lease of an agent.
 *
 * @param leaseMilliseconds - How long an acknowledged heartbeat allows starts.
 */
export function createHeartbeatLease (leaseMilliseconds: number): HeartbeatLease {
  const sentAt = new Map<number, number>()
  let sequence = 0
  let until = 0
  let revoked = false
  return {
    nextSequence (now) {
      sequence += 1
      sentAt.set(sequence, now)
      return sequence
    },
    lastSequence: () => sequence,
    acknowledge (acknowledged) {
      const sent = sentAt.get(acknowledged)
      if (revoked || sent === undefined) return
      until = Math.max(until, sent + leaseMilliseconds)
    },
    revoke () {
      revoked = true
      until = 0
    },
    until: () => until,
    forget (now) {
      for (const [number, sent] of sentAt) {
        if (sent + leaseMilliseconds > now) return
        sentAt.delete(number)
      }
    }
  }
}
