/** Tells heartbeats that come late from those that follow one with a wrong sequence number. */

/** Late heartbeats in a row, each later than the one before, from which the newest number was wrong. */
const LATE_HEARTBEATS_OF_WRONG_NUMBER = 3

/** Order of the heartbeats of one instance of an upstream. */
export interface HeartbeatOrder {
  /** Records a heartbeat. Returns whether it is newer than all before it. */
  recordSequence: (sequence: number) => boolean
}

/**
 * Creates the order of an instance that has not sent a heartbeat. A number that is far too large makes the next two
 * heartbeats late, and is then dropped.
 *
 * @example
 * const order = createHeartbeatOrder()
 * order.recordSequence(4) // true
 * order.recordSequence(3) // false
 */
export function createHeartbeatOrder (): HeartbeatOrder {
  let newest = -Infinity
  let lastLate = -Infinity
  let lateCount = 0

  function accept (sequence: number): true {
    newest = sequence
    lastLate = -Infinity
    lateCount = 0
    return true
  }

  return {
    recordSequence: sequence => {
      if (sequence > newest) return accept(sequence)
      lateCount = sequence > lastLate ? lateCount + 1 : 1
      lastLate = sequence
      return lateCount >= LATE_HEARTBEATS_OF_WRONG_NUMBER && accept(sequence)
    }
  }
}
