/** The entry's decisions about jobs; reads no clock and opens no socket. */
import type { Start, StartAnswer, StopAnswer, Watch, WatchAnswer } from '@baobabpost/fleet-calls'
import {
  endSilent, takeStartAnswer, takeStartFailure, takeStopAnswer, takeWatchAnswer, takeWatchFailure
} from './agent-answers.js'
import { createAgentView, isUsable, type AgentView } from './agent-view.js'
import { assignArrival, assignSoon, assignWaiting, callerFor } from './assignments.js'
import {
  BUSY_WATCH_MILLISECONDS, IDLE_WATCH_MILLISECONDS, IDLE_WATCH_MILLISECONDS_PER_AGENT, STALL_MILLISECONDS
} from './dispatch-limits.js'
import type { DispatcherPorts, DispatcherState } from './dispatcher-state.js'
import { createJob, mayHaveRun, type Job, type JobAnswer, type JobRequest } from './job.js'
import { answerJob } from './job-completion.js'
import { EarliestFinishPlacement, type Placement } from './placement.js'

/** Interval at which stops without a report are repeated. */
const STOP_REPEAT_MILLISECONDS = 250

/** An entry's decisions. All times are of the entry's steady clock, in milliseconds. */
export interface Dispatcher {
  /**
   * Takes in a job; `answer` is told the final answer, once.
   *
   * @returns what to call when the caller has left: nothing of the job is wanted any more.
   */
  submit: (request: JobRequest, answer: (answer: JobAnswer) => void, now: number) => (now: number) => void
  /** A caller cancels a job. Returns whether it was known. */
  cancel: (id: string, now: number) => boolean
  /** Adds an agent, or notes its new address. Returns its view if it was not known. */
  agentFound: (name: string, address: string) => AgentView | undefined
  agentForgotten: (name: string) => void
  nextWatch: (view: AgentView) => Watch
  watchAnswered: (view: AgentView, answer: WatchAnswer, now: number) => void
  watchFailed: (view: AgentView, refused: boolean, now: number) => void
  startAnswered: (view: AgentView, start: Start, answer: StartAnswer, now: number) => void
  startFailed: (view: AgentView, start: Start, refused: boolean, now: number) => void
  stopAnswered: (view: AgentView, answer: StopAnswer, now: number) => void
  /** Ends waits, deadlines and silences that have run out; called every few milliseconds. */
  tick: (now: number) => void
  /** Whether some upstream takes work. */
  isServing: () => boolean
  /** Jobs without a final answer. */
  openJobCount: () => number
  /** Jobs of a route of which nothing was sent to an upstream yet. */
  waitingJobCount: (route: string) => number
  agents: () => Iterable<AgentView>
}

/** What a dispatcher is made from. */
export interface DispatcherOptions extends DispatcherPorts {
  /** Name of the entry, the same after a restart. */
  readonly entry: string
  /** New at each start of the entry. */
  readonly incarnation: string
  readonly failureDomain: string
  readonly placement?: Placement
}

/**
 * Makes an entry's dispatcher.
 *
 * @example
 * const dispatcher = createDispatcher({ entry: 'entry-1', incarnation, failureDomain, sendStart, sendStop, logger })
 * dispatcher.submit(request, answer => { respond(answer) }, performance.now())
 */
export function createDispatcher (options: DispatcherOptions): Dispatcher {
  const state: DispatcherState = {
    entry: options.entry,
    incarnation: options.incarnation,
    failureDomain: options.failureDomain,
    placement: options.placement ?? new EarliestFinishPlacement(),
    agents: new Map(),
    jobs: new Map(),
    assigned: new Map(),
    waiting: [],
    assignedAt: 0
  }
  const ports: DispatcherPorts = options
  let tickedAt: number | undefined
  let stopsRepeatedAt = 0

  function submit (
    request: JobRequest, answer: (answer: JobAnswer) => void, now: number
  ): (now: number) => void {
    const job = createJob(request, answer)
    const known = state.jobs.get(request.id)
    const withdraw = (later: number): void => { giveUp(job, 'the caller left', later) }
    if (known === undefined) {
      state.jobs.set(request.id, job)
      assignArrival(state, ports, job, now)
      return withdraw
    }
    // Only one of the same job may run; its caller sent it again because the connection broke.
    if (known.successor !== undefined) giveUp(known.successor, 'sent again', now)
    known.successor = job
    giveUp(known, 'sent again', now)
    return withdraw
  }

  function giveUp (job: Job, reason: string, now: number): void {
    answerJob(state, ports, job, { kind: 'given-up', reason }, now)
  }

  function cancel (id: string, now: number): boolean {
    const job = state.jobs.get(id)
    if (job === undefined) return false
    if (job.successor !== undefined) giveUp(job.successor, 'cancelled', now)
    giveUp(job, 'cancelled', now)
    return true
  }

  function endDeadlines (now: number): void {
    for (const job of state.jobs.values()) {
      if (job.answered || now < job.request.deadlineAt) continue
      const answer: JobAnswer = mayHaveRun(job)
        ? { kind: 'given-up', reason: 'deadline' }
        : { kind: 'refused', reason: 'deadline', retryAfterMilliseconds: 0 }
      answerJob(state, ports, job, answer, now)
    }
  }

  /** Repeats stops that may have been lost. */
  function repeatStops (now: number): void {
    if (now - stopsRepeatedAt < STOP_REPEAT_MILLISECONDS) return
    stopsRepeatedAt = now
    for (const { task } of state.assigned.values()) {
      if (task.state !== 'stopping' || task.assignment === undefined) continue
      const view = state.agents.get(task.assignment.agent)
      if (view === undefined || !view.reachable) continue
      ports.sendStop(view, {
        caller: callerFor(state, view), runs: [{ task: task.name, run: task.assignment.run }]
      })
    }
  }

  function tick (now: number): void {
    const stalled = tickedAt !== undefined && now - tickedAt > STALL_MILLISECONDS
    tickedAt = now
    // After a standstill, what arrived meanwhile is taken in first: callers may have left.
    if (stalled) {
      ports.logger.warn('this process stood still')
      return
    }
    endDeadlines(now)
    endSilent(state, ports, now)
    repeatStops(now)
    assignWaiting(state, ports, now)
  }

  function agentFound (name: string, address: string): AgentView | undefined {
    const known = state.agents.get(name)
    if (known !== undefined) {
      known.address = address
      return undefined
    }
    const view = createAgentView(state.entry, name, address)
    state.agents.set(name, view)
    ports.logger.info('agent added', { agent: name, address })
    return view
  }

  function idleWatch (): number {
    const { least, most } = IDLE_WATCH_MILLISECONDS
    return Math.min(most, Math.max(least, state.agents.size * IDLE_WATCH_MILLISECONDS_PER_AGENT))
  }

  function hasWorkAt (view: AgentView): boolean {
    for (const { task } of state.assigned.values()) {
      if (task.assignment?.agent === view.name) return true
    }
    return false
  }

  return {
    submit,
    cancel,
    agentFound,
    agentForgotten: name => { state.agents.delete(name) },
    nextWatch: view => ({
      caller: callerFor(state, view),
      acknowledged: view.acknowledged,
      profileVersion: view.profile?.version ?? 0,
      waitMilliseconds: hasWorkAt(view) ? BUSY_WATCH_MILLISECONDS : idleWatch()
    }),
    watchAnswered: (view, answer, now) => {
      takeWatchAnswer(state, ports, view, answer, now)
      assignSoon(state, ports, now)
    },
    watchFailed: (view, refused, now) => { takeWatchFailure(ports, view, refused, now) },
    startAnswered: (view, start, answer, now) => {
      takeStartAnswer(state, ports, view, start, answer, now)
      assignSoon(state, ports, now)
    },
    startFailed: (view, start, refused, now) => { takeStartFailure(state, ports, view, start, refused, now) },
    stopAnswered: (view, answer, now) => { takeStopAnswer(state, ports, view, answer, now) },
    tick,
    isServing: () => {
      for (const view of state.agents.values()) {
        if (isUsable(view)) return true
      }
      return false
    },
    openJobCount: () => {
      let open = 0
      for (const job of state.jobs.values()) if (!job.answered) open += 1
      return open
    },
    waitingJobCount: route => {
      let waiting = 0
      for (const job of state.jobs.values()) {
        if (!job.answered && !mayHaveRun(job) && job.request.route === route) waiting += 1
      }
      return waiting
    },
    agents: () => state.agents.values()
  }
}
