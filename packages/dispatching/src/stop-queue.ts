/**
 * Stops that an entry has to send. Those of one agent travel together, one call at a time, and are repeated less and
 * less often while the agent does not answer: an overloaded link must not be filled by stops.
 */
import type { Stop } from '@baobabpost/fleet-calls'
import type { AgentView } from './agent-view.js'

/** Least time between two stop calls to one agent; stops that come up meanwhile are sent together. */
const MINIMUM_GAP_MILLISECONDS = 20
/** Time after which a stop is sent again whose run has not been reported as ended. */
const REPEAT_MILLISECONDS = 250
/** Longest pause before the next call to an agent that does not answer. */
const MAXIMUM_PAUSE_MILLISECONDS = 2_000
/** Largest number of runs in one call. */
const MAXIMUM_RUNS_PER_CALL = 200

export interface StopQueue {
  /** Adds a run that is to be stopped. */
  add: (view: AgentView, task: string, run: number) => void
  /** Sends what is due to the agents that no call is on its way to. */
  flush: (now: number) => void
  answered: (agent: string) => void
  failed: (agent: string, now: number) => void
  /** Returns the runs of which no stop call was answered. */
  unanswered: (agent: string) => Stop['runs']
}

export interface StopQueueOptions {
  readonly send: (view: AgentView, runs: Stop['runs']) => void
  /** Whether the run still has to be stopped: neither its end nor its lease's is known. */
  readonly isWanted: (task: string, run: number) => boolean
}

interface PendingStop {
  readonly run: number
  dueAt: number
  /** Whether the call that is under way has it. */
  isSent: boolean
  isAnswered: boolean
}

interface AgentStops {
  view: AgentView
  /** Runs by task. */
  readonly runs: Map<string, PendingStop>
  isSending: boolean
  /** Time before which no call is made. */
  pausedUntil: number
  /** Earliest time at which a run is due. */
  nextDueAt: number
  failures: number
}

/**
 * Creates an empty queue. All times are on the entry's steady clock, in milliseconds.
 *
 * @example
 * const stops = createStopQueue({ send, isWanted })
 * stops.add(view, '5c0e7a21d94b36f8.0.0.1', 1)
 * stops.flush(now)
 */
export function createStopQueue (options: StopQueueOptions): StopQueue {
  const agents = new Map<string, AgentStops>()

  function takeDue (stops: AgentStops, now: number): Stop['runs'] {
    const due: Array<{ task: string, run: number }> = []
    stops.nextDueAt = Infinity
    for (const [task, pending] of stops.runs) {
      if (!options.isWanted(task, pending.run)) {
        stops.runs.delete(task)
        continue
      }
      if (pending.dueAt <= now && due.length < MAXIMUM_RUNS_PER_CALL) {
        pending.dueAt = now + REPEAT_MILLISECONDS
        pending.isSent = true
        due.push({ task, run: pending.run })
      }
      stops.nextDueAt = Math.min(stops.nextDueAt, pending.dueAt)
    }
    return due
  }

  return {
    add: (view, task, run) => {
      const stops = agents.get(view.name) ?? {
        view, runs: new Map(), isSending: false, pausedUntil: -Infinity, nextDueAt: -Infinity, failures: 0
      }
      stops.view = view
      stops.nextDueAt = -Infinity
      stops.runs.set(task, { run, dueAt: -Infinity, isSent: false, isAnswered: false })
      agents.set(view.name, stops)
    },
    flush: now => {
      for (const [agent, stops] of agents) {
        if (stops.isSending || now < Math.max(stops.pausedUntil, stops.nextDueAt)) continue
        const due = takeDue(stops, now)
        if (stops.runs.size === 0) {
          agents.delete(agent)
          continue
        }
        if (due.length === 0) continue
        stops.isSending = true
        stops.pausedUntil = now + MINIMUM_GAP_MILLISECONDS
        options.send(stops.view, due)
      }
    },
    answered: agent => {
      const stops = agents.get(agent)
      if (stops === undefined) return
      stops.isSending = false
      stops.failures = 0
      for (const pending of stops.runs.values()) {
        pending.isAnswered ||= pending.isSent
        pending.isSent = false
      }
    },
    failed: (agent, now) => {
      const stops = agents.get(agent)
      if (stops === undefined) return
      stops.isSending = false
      stops.failures += 1
      for (const pending of stops.runs.values()) pending.isSent = false
      const pause = REPEAT_MILLISECONDS * 2 ** (stops.failures - 1)
      stops.pausedUntil = now + Math.min(MAXIMUM_PAUSE_MILLISECONDS, pause)
    },
    unanswered: agent => {
      const runs: Array<Stop['runs'][number]> = []
      for (const [task, { run, isAnswered }] of agents.get(agent)?.runs ?? []) {
        if (!isAnswered && runs.length < MAXIMUM_RUNS_PER_CALL && options.isWanted(task, run)) runs.push({ task, run })
      }
      return runs
    }
  }
}
