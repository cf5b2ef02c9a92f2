/** Sends heartbeats, which describe the agent and give each entry its window of unfinished tasks. */
import type { Announce, LinkMessage } from '@baobabpost/messages'
import type { EntryRegistry } from './entry-registry.js'
import type { ExecutionOptions } from './execution.js'
import type { HeartbeatLease } from './heartbeat-lease.js'
import { shareWindows } from './share-windows.js'
import type { EntryState } from './task-state.js'

export interface Announcer {
  /** Recomputes the window of each entry. */
  updateWindows: (now: number) => void
  /** Requests a round of heartbeats at the next flush, because the state changed. */
  requestRound: () => void
  /** Sends a round of heartbeats if one is due. */
  tick: (now: number) => void
  /** Sends what cannot wait for the next round: to new entries, after changes of state, and windows that grew. */
  flush: (now: number) => void
}

export interface AnnouncerOptions {
  readonly agent: Pick<ExecutionOptions, 'identity' | 'address' | 'service' | 'failureDomain' | 'slots' | 'connections'>
  readonly ports: Pick<ExecutionOptions, 'outbox' | 'entries'>
  readonly entries: EntryRegistry
  readonly lease: HeartbeatLease
  readonly heartbeatMilliseconds: number
  /** Total number of unfinished tasks that all windows share; 0 while no task may start. */
  readonly capacity: () => number
  readonly hasFreeSlots: () => boolean
  readonly isLeaving: () => boolean
  readonly configurationPosition: () => number
}

const BACKLOG_HALF_LIFE_MILLISECONDS = 500
const NEGLIGIBLE_BACKLOG_TASKS = 0.5
const WINDOW_UPDATE_INTERVAL_MILLISECONDS = 20
const BUSY_WINDOW_UPDATE_INTERVAL_MILLISECONDS = 100
const SEED_FALLBACK_ROUNDS = 3

/** Number of tasks that an entry could have at this agent; its reported backlog decays with its age. */
function demandOf (entry: EntryState, now: number): number {
  if (entry.backlog === 0) return entry.unfinishedCount
  const halvings = Math.max(0, now - entry.backlogReportedAt) / BACKLOG_HALF_LIFE_MILLISECONDS
  const backlog = entry.backlog * 0.5 ** halvings
  if (backlog < NEGLIGIBLE_BACKLOG_TASKS) entry.backlog = 0
  return entry.unfinishedCount + (backlog < NEGLIGIBLE_BACKLOG_TASKS ? 0 : backlog)
}

/**
 * @example
 * announcer.updateWindows(now)
 * announcer.tick(now)
 */
export function createAnnouncer (options: AnnouncerOptions): Announcer {
  const { agent, ports, entries, lease, heartbeatMilliseconds } = options
  let lastRoundAt = Number.NEGATIVE_INFINITY
  let isRoundRequested = false

  function announcement (window: number, now: number): LinkMessage {
    const { identity, address, service, failureDomain, slots, connections } = agent
    const parameters: Announce = {
      identity,
      address,
      service,
      failureDomain,
      slots,
      connections,
      state: options.isLeaving() ? 'leaving' : 'active',
      sequence: lease.nextSequence(now),
      window,
      configurationPosition: options.configurationPosition()
    }
    return { method: 'announce', parameters }
  }

  function announceTo (entry: EntryState, now: number): void {
    entry.sentWindow = entry.window
    entry.lastAnnouncedAt = now
    ports.outbox.send(entry.identity, announcement(entry.window, now))
  }

  function announceRound (now: number): void {
    lastRoundAt = now
    isRoundRequested = false
    for (const entry of entries.all().values()) announceTo(entry, now)
    if (now - entries.lastListedAt() < SEED_FALLBACK_ROUNDS * heartbeatMilliseconds) return
    const window = shareWindows(options.capacity(), [0])[0] ?? 0
    ports.entries.sendToSeeds(announcement(window, now))
  }

  function updateWindows (now: number): void {
    const all = [...entries.all().values()]
    const capacity = options.capacity()
    if (capacity === 0) {
      for (const entry of all) entry.window = 0
      return
    }
    const windows = shareWindows(capacity, all.map(entry => demandOf(entry, now)))
    for (const [index, entry] of all.entries()) entry.window = windows[index] ?? 0
  }

  /** Whether an entry can use a window larger than the last one sent, and the minimum interval has passed. */
  function needsWindowUpdate (entry: EntryState, now: number): boolean {
    if (entry.backlog === 0 || entry.window <= entry.sentWindow) return false
    const intervalMilliseconds = options.hasFreeSlots()
      ? WINDOW_UPDATE_INTERVAL_MILLISECONDS
      : BUSY_WINDOW_UPDATE_INTERVAL_MILLISECONDS
    return now - entry.lastAnnouncedAt >= intervalMilliseconds && demandOf(entry, now) > entry.sentWindow
  }

  return {
    updateWindows,
    requestRound () { isRoundRequested = true },
    tick (now) {
      if (now - lastRoundAt < heartbeatMilliseconds) return
      lease.removeExpired(now)
      updateWindows(now)
      announceRound(now)
    },
    flush (now) {
      if (isRoundRequested) {
        announceRound(now)
        return
      }
      for (const entry of entries.all().values()) {
        if (entry.lastAnnouncedAt === 0 || needsWindowUpdate(entry, now)) announceTo(entry, now)
      }
    }
  }
}
