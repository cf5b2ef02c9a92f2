/** Heartbeats: tells entries what the agent is and how many unfinished tasks each may have here. */
import type { Announce, LinkMessage } from '@baobabpost/messages'
import type { EntryBook } from './entry-registry.js'
import type { ExecutionOptions } from './execution.js'
import type { HeartbeatLease } from './heartbeat-lease.js'
import { shareWindows } from './share-windows.js'
import type { EntryState } from './task-state.js'

/** The heartbeats and windows of an agent. */
export interface Announcer {
  /** Shares the capacity out anew. */
  updateWindows: (now: number) => void
  /** Tells every entry as soon as possible, because the state changed. */
  announceSoon: () => void
  /** Sends a round of heartbeats if one is due. */
  tick: (now: number) => void
  /** Sends what can't wait for the next round: news for new entries, changes of state, windows that grew. */
  flush: (now: number) => void
}

/** What the heartbeats work on. */
export interface AnnouncerOptions {
  readonly agent: Pick<ExecutionOptions, 'identity' | 'address' | 'service' | 'failureDomain' | 'slots' | 'connections'>
  readonly ports: Pick<ExecutionOptions, 'outbox' | 'entries'>
  readonly entries: EntryBook
  readonly lease: HeartbeatLease
  readonly heartbeatMilliseconds: number
  /** Unfinished tasks to share out; 0 while nothing may start. */
  readonly capacity: () => number
  readonly hasFreeSlots: () => boolean
  readonly leaving: () => boolean
  readonly configurationPosition: () => number
}

const BACKLOG_HALF_LIFE_MILLISECONDS = 500
const NEGLIGIBLE_BACKLOG_TASKS = 0.5
const GAP_MILLISECONDS = 20
const GAP_WITHOUT_FREE_SLOTS_MILLISECONDS = 100
const SEEDS_AFTER_ROUNDS = 3

/** Tasks that an entry has use for here; what it last told counts less with time. */
function demandOf (entry: EntryState, now: number): number {
  if (entry.backlog === 0) return entry.unfinished
  const halvings = Math.max(0, now - entry.backlogAt) / BACKLOG_HALF_LIFE_MILLISECONDS
  const backlog = entry.backlog * 0.5 ** halvings
  if (backlog < NEGLIGIBLE_BACKLOG_TASKS) entry.backlog = 0
  return entry.unfinished + (backlog < NEGLIGIBLE_BACKLOG_TASKS ? 0 : backlog)
}

/**
 * Makes the heartbeats of an agent.
 *
 * @example
 * announcer.updateWindows(now)
 * announcer.tick(now)
 */
export function createAnnouncer (options: AnnouncerOptions): Announcer {
  const { agent, ports, entries, lease, heartbeatMilliseconds } = options
  let lastRoundAt = Number.NEGATIVE_INFINITY
  let soon = false

  function announcement (window: number, now: number): LinkMessage {
    const { identity, address, service, failureDomain, slots, connections } = agent
    const parameters: Announce = {
      identity,
      address,
      service,
      failureDomain,
      slots,
      connections,
      state: options.leaving() ? 'leaving' : 'active',
      sequence: lease.nextSequence(now),
      window,
      configurationPosition: options.configurationPosition()
    }
    return { method: 'announce', parameters }
  }

  function announceTo (entry: EntryState, now: number): void {
    entry.toldWindow = entry.window
    entry.announcedAt = now
    ports.outbox.send(entry.identity, announcement(entry.window, now))
  }

  function announceRound (now: number): void {
    lastRoundAt = now
    soon = false
    for (const entry of entries.all().values()) announceTo(entry, now)
    if (now - entries.lastNamedAt() < SEEDS_AFTER_ROUNDS * heartbeatMilliseconds) return
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
    for (const [place, entry] of all.entries()) entry.window = windows[place] ?? 0
  }

  /** Whether an entry has use for the window that it was not told yet, and can't be left waiting for a report. */
  function isWorthTelling (entry: EntryState, now: number): boolean {
    if (entry.backlog === 0 || entry.window <= entry.toldWindow) return false
    const gap = options.hasFreeSlots() ? GAP_MILLISECONDS : GAP_WITHOUT_FREE_SLOTS_MILLISECONDS
    return now - entry.announcedAt >= gap && demandOf(entry, now) > entry.toldWindow
  }

  return {
    updateWindows,
    announceSoon () { soon = true },
    tick (now) {
      if (now - lastRoundAt < heartbeatMilliseconds) return
      lease.forget(now)
      updateWindows(now)
      announceRound(now)
    },
    flush (now) {
      if (soon) {
        announceRound(now)
        return
      }
      for (const entry of entries.all().values()) {
        if (entry.announcedAt === 0 || isWorthTelling(entry, now)) announceTo(entry, now)
      }
    }
  }
}
