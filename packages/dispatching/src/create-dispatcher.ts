/** Dispatcher of an entry. It reads no clock and opens no socket: times are passed in, and calls go through ports. */
import { createRandom } from '@baobabpost/common'
import type { EvacuationRegister, Start, StartAnswer, StopAnswer, Watch, WatchAnswer } from '@baobabpost/fleet-calls'
import { LatestStartAdmission, type Admission } from './admission.js'
import {
  handleStartAnswer, handleStartFailure, handleStopAnswer, handleWatchAnswer, handleWatchFailure
} from './agent-answers.js'
import { createAgentView, isUsable, type AgentView } from './agent-view.js'
import { isEvacuated } from './job-plan.js'
import { assignNewJob, assignWaitingIfDue, assignWaiting } from './assignments.js'
import { createAssignedTasks } from './assigned-tasks.js'
import { callerFor } from './caller.js'
import { createConfinements } from './confinement.js'
import { createCrashEvidence } from './crash-evidence.js'
import type { DispatcherPorts, DispatcherState } from './dispatcher-state.js'
import { logShares } from './ejection.js'
import { endRunsOfUnresponsiveAgents } from './ended-assignments.js'
import { createJob, mayHaveRun, type Job, type JobAnswer, type JobRequest } from './job.js'
import { abandonAllJobs, answerJob } from './job-completion.js'
import { LearnedRunTimes } from './learned-run-times.js'
import { markOpenTasks } from './learn-open-orders.js'
import { ObjectivePlacement } from './objective-placement.js'
import { createOpenOrders } from './open-orders.js'
import type { Placement } from './placement.js'
import { rankFor } from './preference.js'
import { createProcessPause } from './process-pause.js'
import { createRefusalLedger } from './refusal-ledger.js'
import { createRouteDemand } from './route-demand.js'
import type { RunTimeEstimates } from './run-time-estimates.js'
import { createStopQueue } from './stop-queue.js'
import { createSuspectAgents } from './suspect-agents.js'
import { watchMilliseconds } from './watch-wait.js'

/** Number of seeds from which an incarnation of an entry draws its own. */
const RANDOM_SEEDS = 2 ** 31

/** Places the jobs of an entry. All times are on the entry's steady clock, in milliseconds. */
export interface Dispatcher {
  /**
   * Accepts a job. `answer` is called once, with the final answer.
   *
   * @returns a function to call when the caller has disconnected; it stops the job.
   */
  submit: (request: JobRequest, answer: (answer: JobAnswer) => void, now: number) => (now: number) => void
  /** Whether a job with this id is open here; a submission of it then continues or replaces work that may have run. */
  knows: (id: string) => boolean
  /** Cancels a job. Returns whether it was known. */
  cancel: (id: string, now: number) => boolean
  /** Answers all open jobs: as not run those of which no task can have run, the others as given up. */
  abandonAll: (reason: string, now: number) => void
  /** Adds an agent, or updates the address of a known one. Returns the view of an agent that was added. */
  agentFound: (name: string, address: string) => AgentView | undefined
  agentForgotten: (name: string, silentMilliseconds: number) => void
  nextWatch: (view: AgentView) => Watch
  watchAnswered: (view: AgentView, answer: WatchAnswer, now: number) => void
  watchFailed: (view: AgentView, isRefused: boolean, now: number) => void
  startAnswered: (view: AgentView, start: Start, answer: StartAnswer, now: number) => void
  startFailed: (view: AgentView, start: Start, isRefused: boolean, now: number) => void
  stopAnswered: (view: AgentView, answer: StopAnswer, now: number) => void
  stopFailed: (view: AgentView, now: number) => void
  /**
   * Answers expired jobs, ends runs of unresponsive agents and assigns waiting jobs; to be called every few ms by a
   * timer. After a process pause no tasks are sent before its second tick.
   */
  tick: (now: number) => void
  /** Assigns waiting jobs, as requested by `requestPass`. */
  assign: (now: number) => void
  /** Does what a tick does, at any time but after a process pause. */
  refresh: (now: number) => void
  /** Whether any agent accepts work. */
  isServing: () => boolean
  /** Whether no job is open and no run may be left anywhere, so that ticks find nothing to do for callers. */
  isIdle: () => boolean
  /** Number of jobs without a final answer. */
  openJobCount: () => number
  /** Number of unanswered jobs of a route of which no task may have started. */
  waitingJobCount: (route: string) => number
  agents: () => Iterable<AgentView>
}

export interface DispatcherOptions extends DispatcherPorts {
  /** Name of the entry, kept across restarts. */
  readonly entry: string
  /** New at each start of the entry. */
  readonly incarnation: string
  readonly failureDomain: string
  readonly placement?: Placement
  readonly admission?: Admission
  /** Run times that plans are made with; learned ones by default. */
  readonly runTimes?: RunTimeEstimates
  /** Register of the evacuated failure domains, where evacuations are enabled. */
  readonly evacuations?: EvacuationRegister
}

/**
 * Creates an entry's dispatcher.
 *
 * @example
 * const dispatcher = createDispatcher({ entry: 'entry-1', incarnation, failureDomain, sendStart, sendStop, logger })
 * dispatcher.submit(request, answer => { respond(answer) }, performance.now())
 */
export function createDispatcher (options: DispatcherOptions): Dispatcher {
  const stops = createStopQueue({
    send: (view, runs) => { ports.sendStop(view, { caller: callerFor(state, view), runs }) },
    isWanted: (name, run) => {
      const task = state.assigned.get(name)?.task
      return task?.state === 'stopping' && task.assignment?.run === run
    }
  })
  const crashes = createCrashEvidence()
  const demand = createRouteDemand()
  const state: DispatcherState = {
    entry: options.entry,
    incarnation: options.incarnation,
    failureDomain: options.failureDomain,
    placement: options.placement ??
      new ObjectivePlacement(createRandom(Math.floor(RANDOM_SEEDS * rankFor(options.entry, options.incarnation)))),
    admission: options.admission ?? new LatestStartAdmission(),
    refusals: createRefusalLedger(),
    runTimes: options.runTimes ?? new LearnedRunTimes(options.logger),
    evacuations: options.evacuations,
    crashes,
    demand,
    confinements: createConfinements({ crashes, demand, logger: options.logger }),
    agents: new Map(),
    jobs: new Map(),
    plans: new Map(),
    assigned: createAssignedTasks(),
    suspects: createSuspectAgents(task => crashes.crashCountOf(task) > 0),
    openOrders: createOpenOrders(),
    stops,
    waiting: new Set(),
    nextTurn: 0,
    isPassUnfinished: false,
    startedAt: Infinity,
    lastAssignPassAt: 0,
    lastShareLogAt: 0
  }
  const ports: DispatcherPorts = options
  const pause = createProcessPause()

  function submit (
    submitted: JobRequest, answer: (answer: JobAnswer) => void, now: number
  ): (now: number) => void {
    const request = state.runTimes.correctEstimates(submitted)
    const job = createJob(request, answer, {
      estimateFactor: state.runTimes.objectiveFactor(request), place: state.refusals.takePlace(request.id, now)
    })
    markOpenTasks(state.openOrders, job)
    state.demand.record(request, now)
    const existing = state.jobs.get(request.id)
    const withdraw = (withdrawnAt: number): void => { abandonJob(job, 'the caller left', withdrawnAt) }
    if (existing === undefined) {
      state.jobs.set(request.id, job)
      if (pause.maySend(now)) assignNewJob(state, ports, job, now)
      else state.waiting.add(job)
      return withdraw
    }
    // The caller resubmitted the job, for example after its connection broke. Only one submission of it may run.
    if (existing.successor !== undefined) abandonJob(existing.successor, 'sent again', now)
    existing.successor = job
    abandonJob(existing, 'sent again', now)
    return withdraw
  }

  function abandonJob (job: Job, reason: string, now: number): void {
    answerJob(state, ports, job, { kind: 'given-up', reason }, now)
  }

  function cancel (id: string, now: number): boolean {
    const job = state.jobs.get(id)
    if (job === undefined) return false
    if (job.successor !== undefined) abandonJob(job.successor, 'cancelled', now)
    abandonJob(job, 'cancelled', now)
    return true
  }

  function endExpiredJobs (now: number): void {
    for (const job of state.jobs.values()) {
      if (job.isAnswered || now < job.request.deadlineAt) continue
      const answer: JobAnswer = mayHaveRun(job)
        ? { kind: 'given-up', reason: 'deadline' }
        : { kind: 'refused', reason: 'deadline', retryAfterMilliseconds: 0 }
      answerJob(state, ports, job, answer, now)
    }
  }

  function tick (now: number): void {
    const pauseMilliseconds = pause.tick(now)
    state.startedAt = Math.min(state.startedAt, now)
    if (pauseMilliseconds === 0) return refresh(now)
    ports.logger.warn('this process stood still', { milliseconds: Math.round(pauseMilliseconds) })
  }

  function refresh (now: number): void {
    if (!pause.maySend(now)) return
    endExpiredJobs(now)
    endRunsOfUnresponsiveAgents(state, ports, now)
    state.crashes.expire(now)
    state.openOrders.expire(now)
    state.stops.flush(now)
    assignWaiting(state, ports, now)
    logShares(state, ports, now)
  }

  /** Whether a pass has followed an answer in this turn of the event loop, in which many answers may be read. */
  let hasAssignedInTurn = false

  function assign (now: number): void {
    hasAssignedInTurn = false
    if (pause.maySend(now)) assignWaitingIfDue(state, ports, now)
  }

  /** However long a pass takes, other input is handled before the next one. */
  function assignAfterAnswer (now: number): void {
    if (hasAssignedInTurn || state.waiting.size === 0) return
    assign(now)
    if (ports.requestPass === undefined) return
    hasAssignedInTurn = true
    ports.requestPass()
  }

  function agentFound (name: string, address: string): AgentView | undefined {
    const existing = state.agents.get(name)
    if (existing !== undefined) {
      existing.address = address
      return undefined
    }
    const view = createAgentView(state.entry, name, address)
    state.agents.set(name, view)
    ports.logger.info('agent added', { agent: name, address })
    return view
  }

  return {
    submit,
    knows: id => state.jobs.has(id),
    cancel,
    abandonAll: (reason, now) => { abandonAllJobs(state, ports, reason, now) },
    agentFound,
    agentForgotten: (name, silentMilliseconds) => {
      const view = state.agents.get(name)
      if (view !== undefined) state.runTimes.forget(view)
      state.agents.delete(name)
      ports.logger.warn('agent forgotten', { agent: name, heardAgo: Math.round(silentMilliseconds) })
    },
    nextWatch: view => {
      const unanswered = stops.unanswered(view.name)
      return {
        caller: callerFor(state, view),
        acknowledged: view.acknowledgedSequence,
        // An agent that was lost tells anew which orders are open.
        profileVersion: view.isReachable ? view.profile?.version ?? 0 : 0,
        waitMilliseconds: watchMilliseconds(state, view),
        ...(unanswered.length === 0 ? {} : { stops: unanswered })
      }
    },
    watchAnswered: (view, answer, now) => {
      handleWatchAnswer(state, ports, view, answer, now)
      assignAfterAnswer(now)
    },
    watchFailed: (view, isRefused, now) => { handleWatchFailure(state, ports, view, isRefused, now) },
    startAnswered: (view, start, answer, now) => {
      handleStartAnswer(state, ports, view, start, answer, now)
      assignAfterAnswer(now)
    },
    startFailed: (view, start, isRefused, now) => { handleStartFailure(state, ports, view, start, isRefused, now) },
    stopAnswered: (view, answer, now) => { handleStopAnswer(state, ports, view, answer, now) },
    stopFailed: (view, now) => { state.stops.failed(view.name, now) },
    tick,
    assign,
    refresh,
    isServing: () => {
      for (const view of state.agents.values()) {
        if (isUsable(view) && !isEvacuated(state, view)) return true
      }
      return false
    },
    isIdle: () => state.jobs.size === 0 && state.assigned.count() === 0,
    openJobCount: () => {
      let count = 0
      for (const job of state.jobs.values()) if (!job.isAnswered) count += 1
      return count
    },
    waitingJobCount: route => {
      let count = 0
      for (const job of state.jobs.values()) {
        if (!job.isAnswered && !mayHaveRun(job) && job.request.route === route) count += 1
      }
      return count
    },
    agents: () => state.agents.values()
  }
}
