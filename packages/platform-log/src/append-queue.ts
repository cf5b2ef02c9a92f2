/**
 * The appends of one process: bounded, rate limited, and settled by reading back.
 *
 * An append whose answer did not come may have taken effect. It is sent again only after a read that started later
 * reached the end of the log without showing its nonce.
 */
import type { Random } from '@baobabpost/common'
import type { AppendOutcome } from './platform-log-client.js'

const MILLISECONDS_PER_SECOND = 1_000

/** Bounds of the queue. */
export interface AppendQueueOptions {
  readonly maximumPending: number
  readonly maximumInFlight: number
  readonly maximumPerSecond: number
  /** Shortest and longest wait before a record is sent again. */
  readonly minimumBackOffMilliseconds: number
  readonly maximumBackOffMilliseconds: number
  /** Time after which a record is given up. */
  readonly abandonAfterMilliseconds: number
  readonly random: Random
}

/** A record that is to be sent. */
export interface PendingAppend {
  readonly nonce: string
  readonly data: string
}

/** How an attempt ended. */
export type AttemptResult =
  | { readonly kind: 'appended', readonly offset: number }
  /** Proof that it did not take effect; another attempt may. */
  | { readonly kind: 'refused' }
  /** Proof that it never will. */
  | { readonly kind: 'rejected' }
  | { readonly kind: 'doubtful' }

/** The appends that are not settled. */
export interface AppendQueue {
  /** Takes a record, or not if the queue is full. */
  add: (append: PendingAppend, now: number) => boolean
  /** The next record that may be sent now. */
  next: (now: number) => PendingAppend | undefined
  attempted: (nonce: string, result: AttemptResult, now: number) => AppendOutcome | undefined
  /** A record with that nonce was read. */
  seen: (nonce: string, offset: number) => AppendOutcome | undefined
  /** A read that started at that time reached the end of the log. */
  endReached: (readStartedAt: number) => void
  /** Gives up what waited too long. */
  expire: (now: number) => readonly AppendOutcome[]
  /** Gives up everything. */
  clear: () => readonly AppendOutcome[]
  pending: () => number
  /** Whether any record may have been appended without a sign of it. */
  doubtful: () => boolean
}

interface Item extends PendingAppend {
  readonly queuedAt: number
  state: 'waiting' | 'sending' | 'doubtful'
  /** Whether an attempt may have taken effect without being settled since. */
  doubted: boolean
  attempts: number
  sendAfter: number
  doubtfulSince: number
}

/** Makes an empty queue. */
export function createAppendQueue (options: AppendQueueOptions): AppendQueue {
  const items = new Map<string, Item>()
  let inFlight = 0
  let allowance = options.maximumPerSecond
  let allowanceAt = 0

  function refill (now: number): void {
    const earned = Math.max(0, now - allowanceAt) * options.maximumPerSecond / MILLISECONDS_PER_SECOND
    allowance = Math.min(options.maximumPerSecond, allowance + earned)
    allowanceAt = now
  }

  function backOff (item: Item): number {
    const doubled = options.minimumBackOffMilliseconds * 2 ** Math.min(item.attempts, 16)
    const bound = Math.min(options.maximumBackOffMilliseconds, doubled)
    return bound / 2 + options.random.fraction() * bound / 2
  }

  function settle (item: Item): void {
    if (item.state === 'sending') inFlight -= 1
    items.delete(item.nonce)
  }

  function giveUp (item: Item): AppendOutcome {
    const doubted = item.doubted || item.state === 'sending'
    settle(item)
    return { kind: doubted ? 'unknown' : 'abandoned', nonce: item.nonce }
  }

  function appended (item: Item, offset: number): AppendOutcome {
    settle(item)
    return { kind: 'appended', nonce: item.nonce, offset }
  }

  return {
    add (append, now) {
      if (items.size >= options.maximumPending) return false
      items.set(append.nonce, {
        ...append, queuedAt: now, state: 'waiting', doubted: false, attempts: 0, sendAfter: now, doubtfulSince: 0
      })
      return true
    },
    next (now) {
      refill(now)
      if (inFlight >= options.maximumInFlight || allowance < 1) return undefined
      for (const item of items.values()) {
        if (item.state !== 'waiting' || item.sendAfter > now) continue
        item.state = 'sending'
        item.attempts += 1
        inFlight += 1
        allowance -= 1
        return item
      }
      return undefined
    },
    attempted (nonce, result, now) {
      const item = items.get(nonce)
      if (item?.state !== 'sending') return undefined
      if (result.kind === 'appended') return appended(item, result.offset)
      if (result.kind === 'rejected') {
        item.state = 'waiting'
        inFlight -= 1
        return giveUp(item)
      }
      inFlight -= 1
      item.sendAfter = now + backOff(item)
      item.state = result.kind === 'refused' ? 'waiting' : 'doubtful'
      item.doubted ||= result.kind === 'doubtful'
      item.doubtfulSince = now
      return undefined
    },
    seen (nonce, offset) {
      const item = items.get(nonce)
      return item === undefined ? undefined : appended(item, offset)
    },
    endReached (readStartedAt) {
      for (const item of items.values()) {
        if (item.state === 'doubtful' && readStartedAt > item.doubtfulSince) item.state = 'waiting'
      }
    },
    expire (now) {
      const outcomes: AppendOutcome[] = []
      for (const item of [...items.values()]) {
        if (now - item.queuedAt >= options.abandonAfterMilliseconds) outcomes.push(giveUp(item))
      }
      return outcomes
    },
    clear: () => [...items.values()].map(giveUp),
    pending: () => items.size,
    doubtful: () => [...items.values()].some(item => item.state === 'doubtful')
  }
}
