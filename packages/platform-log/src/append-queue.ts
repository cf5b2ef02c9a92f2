/**
 * Queue of the appends of one process: bounded and rate limited, without sockets or timers.
 *
 * An append whose answer did not arrive is doubtful: it may have taken effect. It is sent again only after a read that
 * started later has reached the end of the log without finding its nonce.
 */
import type { Random } from '@baobabpost/common'
import type { AppendOutcome } from './platform-log-client.js'

const MILLISECONDS_PER_SECOND = 1_000

export interface AppendQueueOptions {
  readonly maximumPending: number
  readonly maximumInFlight: number
  readonly maximumPerSecond: number
  /** Lower bound of the wait before a record is sent again. */
  readonly minimumBackOffMilliseconds: number
  /** Upper bound of the wait before a record is sent again. */
  readonly maximumBackOffMilliseconds: number
  /** Time in the queue after which a record is abandoned. */
  readonly abandonAfterMilliseconds: number
  readonly random: Random
}

/** A record to be appended, with the nonce by which it is found on the log. */
export interface PendingAppend {
  readonly nonce: string
  readonly data: string
}

/** Result of one attempt to append a record. */
export type AttemptResult =
  | { readonly kind: 'appended', readonly offset: number }
  /** The attempt certainly had no effect; another one may succeed. */
  | { readonly kind: 'refused' }
  /** The log does not accept the record; no attempt can succeed. */
  | { readonly kind: 'rejected' }
  /** The attempt may have taken effect. */
  | { readonly kind: 'doubtful' }

/** The appends whose outcome is not yet known. */
export interface AppendQueue {
  /** Queues a record; returns false if the queue is full. */
  add: (append: PendingAppend, now: number) => boolean
  /** The next record that may be sent now, which counts as in flight from then on. */
  next: (now: number) => PendingAppend | undefined
  /** Records the result of an attempt; returns the outcome of the append if it is final. */
  attemptFinished: (nonce: string, result: AttemptResult, now: number) => AppendOutcome | undefined
  /** Records that a read found the nonce on the log. */
  foundOnLog: (nonce: string, offset: number) => AppendOutcome | undefined
  /** Records that a read that started at that time reached the end of the log. */
  endReached: (readStartedAt: number) => void
  /** Abandons records that have been queued for too long. */
  expire: (now: number) => readonly AppendOutcome[]
  /** Abandons all records. */
  clear: () => readonly AppendOutcome[]
  pendingCount: () => number
  /** Whether the outcome of the last attempt to append is unknown for any record. */
  hasDoubtful: () => boolean
}

interface QueuedAppend extends PendingAppend {
  readonly queuedAt: number
  state: 'waiting' | 'sending' | 'doubtful'
  /** Whether an earlier attempt may have taken effect. */
  mayHaveTakenEffect: boolean
  attempts: number
  sendAfter: number
  doubtfulSince: number
}

export function createAppendQueue (options: AppendQueueOptions): AppendQueue {
  const items = new Map<string, QueuedAppend>()
  let inFlightCount = 0
  let availableTokens = options.maximumPerSecond
  let refilledAt = 0

  function refill (now: number): void {
    const addedTokens = Math.max(0, now - refilledAt) * options.maximumPerSecond / MILLISECONDS_PER_SECOND
    availableTokens = Math.min(options.maximumPerSecond, availableTokens + addedTokens)
    refilledAt = now
  }

  function backOffMilliseconds (item: QueuedAppend): number {
    const doubled = options.minimumBackOffMilliseconds * 2 ** Math.min(item.attempts, 16)
    const bound = Math.min(options.maximumBackOffMilliseconds, doubled)
    return bound / 2 + options.random.fraction() * bound / 2
  }

  function remove (item: QueuedAppend): void {
    if (item.state === 'sending') inFlightCount -= 1
    items.delete(item.nonce)
  }

  function abandon (item: QueuedAppend): AppendOutcome {
    const mayHaveTakenEffect = item.mayHaveTakenEffect || item.state === 'sending'
    remove(item)
    return { kind: mayHaveTakenEffect ? 'unknown' : 'abandoned', nonce: item.nonce }
  }

  function markAppended (item: QueuedAppend, offset: number): AppendOutcome {
    remove(item)
    return { kind: 'appended', nonce: item.nonce, offset }
  }

  return {
    add (append, now) {
      if (items.size >= options.maximumPending) return false
      items.set(append.nonce, {
        ...append, queuedAt: now, state: 'waiting', mayHaveTakenEffect: false, attempts: 0, sendAfter: now, doubtfulSince: 0
      })
      return true
    },
    next (now) {
      refill(now)
      if (inFlightCount >= options.maximumInFlight || availableTokens < 1) return undefined
      for (const item of items.values()) {
        if (item.state !== 'waiting' || item.sendAfter > now) continue
        item.state = 'sending'
        item.attempts += 1
        inFlightCount += 1
        availableTokens -= 1
        return item
      }
      return undefined
    },
    attemptFinished (nonce, result, now) {
      const item = items.get(nonce)
      if (item?.state !== 'sending') return undefined
      if (result.kind === 'appended') return markAppended(item, result.offset)
      if (result.kind === 'rejected') {
        item.state = 'waiting'
        inFlightCount -= 1
        return abandon(item)
      }
      inFlightCount -= 1
      item.sendAfter = now + backOffMilliseconds(item)
      item.state = result.kind === 'refused' ? 'waiting' : 'doubtful'
      item.mayHaveTakenEffect ||= result.kind === 'doubtful'
      item.doubtfulSince = now
      return undefined
    },
    foundOnLog (nonce, offset) {
      const item = items.get(nonce)
      return item === undefined ? undefined : markAppended(item, offset)
    },
    endReached (readStartedAt) {
      for (const item of items.values()) {
        if (item.state === 'doubtful' && readStartedAt > item.doubtfulSince) item.state = 'waiting'
      }
    },
    expire (now) {
      const outcomes: AppendOutcome[] = []
      for (const item of [...items.values()]) {
        if (now - item.queuedAt >= options.abandonAfterMilliseconds) outcomes.push(abandon(item))
      }
      return outcomes
    },
    clear: () => [...items.values()].map(abandon),
    pendingCount: () => items.size,
    hasDoubtful: () => [...items.values()].some(item => item.state === 'doubtful')
  }
}
