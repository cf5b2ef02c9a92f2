/** Refusal of jobs for lack of capacity, and release of the capacity that such jobs hold. */
import type { DispatcherPorts, DispatcherState } from './dispatcher-state.js'
import type { Job, JobTask } from './job.js'
import { answerJob } from './job-completion.js'
import type { AgentsByDistance } from './job-plan.js'
import { latestStartMilliseconds } from './admission.js'
import { callerFor } from './caller.js'
import { estimateChoice } from './placement.js'

/** Least share of the released capacity that an entry counts on: it may have no work at the moment. */
const MINIMUM_OWN_SHARE = 0.05
/**
 * Time after the release of a job's tasks in which agents have told which of them had not started: a call and a watch
 * answer. The job is then refused, or given up if any has started.
 */
const RELEASE_CONFIRMATION_MILLISECONDS = 60

/** Returns the share of the capacity in use that serves this entry's tasks, 0 to 1. */
function ownShare (state: DispatcherState, agents: AgentsByDistance): number {
  let usedProcessor = 0
  for (const { profile, load } of [...agents.near, ...agents.far]) {
    usedProcessor += Math.max(0, (profile?.capacity.processor ?? 0) - load.free.processor)
  }
  if (usedProcessor <= 0) return 1
  return Math.min(1, Math.max(MINIMUM_OWN_SHARE, state.assigned.processor() / usedProcessor))
}

/** Answers `refused` to a job none of whose tasks has started, with a Retry-After from the rate of release. */
export function refuseForCapacity (
  state: DispatcherState,
  ports: DispatcherPorts,
  job: Job,
  waiting: readonly JobTask[],
  agents: AgentsByDistance,
  now: number
): void {
  const { request } = job
  let releaseRate = 0
  let processor = 0
  let excessWaitMilliseconds = Infinity
  let fitting = 0
  for (const { step } of waiting) processor += step.size.processor
  for (const view of [...agents.near, ...agents.far]) {
    releaseRate += view.load.releaseRate
    const [task] = waiting
    if (task === undefined) continue
    const freeProcessor = view.load.free.processor - view.unconfirmedSize.processor
    fitting += Math.max(0, Math.floor(freeProcessor / Math.max(1, task.step.size.processor)))
    const choice = estimateChoice(view, {
      task,
      priority: request.priority,
      route: request.route,
      runTimes: state.runTimes,
      candidates: [],
      usedAgents: new Set(),
      failureDomain: state.failureDomain,
      remainingMilliseconds: job.objectiveMilliseconds,
      now
    })
    const latestStart = latestStartMilliseconds(choice, job.objectiveMilliseconds)
    excessWaitMilliseconds = Math.min(excessWaitMilliseconds, Math.max(0, choice.waitMilliseconds - latestStart))
  }
  const ownReleaseRate = releaseRate * ownShare(state, agents)
  const retryAfterMilliseconds = state.refusals.refuse({
    id: request.id,
    service: request.service,
    place: job.place,
    excessWaitMilliseconds,
    startMilliseconds: ownReleaseRate > 0 ? processor / ownReleaseRate : 0
  }, now)
  ports.logger.info('job refused: no capacity', {
    job: request.id,
    route: request.route,
    tasks: waiting.length,
    fitting,
    excess: Math.round(excessWaitMilliseconds),
    retryAfter: retryAfterMilliseconds,
    promised: state.refusals.promisedCount()
  })
  const reason = 'no capacity within its objective'
  answerJob(state, ports, job, { kind: 'refused', reason, retryAfterMilliseconds }, now)
}

/**
 * Takes back the tasks of a job that wait at agents, so that the capacity serves others. Runs that have started go on.
 * An agent that the call doesn't reach ends the wait at the latest start of the task.
 */
export function releaseWaitingTasks (
  state: DispatcherState, ports: DispatcherPorts, job: Job, now: number
): void {
  job.releasedAt = now
  const byAgent = new Map<string, Array<{ task: string, run: number }>>()
  for (const { name, state: taskState, assignment } of job.tasks) {
    if (taskState !== 'assigned' || assignment === undefined) continue
    const runs = byAgent.get(assignment.agent) ?? []
    runs.push({ task: name, run: assignment.run })
    byAgent.set(assignment.agent, runs)
  }
  let released = 0
  for (const [agent, runs] of byAgent) {
    const view = state.agents.get(agent)
    if (view === undefined) continue
    released += runs.length
    ports.sendStop(view, { caller: callerFor(state, view), runs, isOnlyWaiting: true })
  }
  ports.logger.info('tasks released', { job: job.request.id, agents: byAgent.size, tasks: released })
}

/**
 * Whether a job whose tasks were released is to be given up, as it can't be in time and others need the capacity of its
 * runs. A job that has lost a run since waits for capacity that others leave free.
 */
export function isGivenUp ({ releasedAt, progress }: Job, now: number): boolean {
  if (releasedAt === undefined || now - releasedAt < RELEASE_CONFIRMATION_MILLISECONDS) return false
  return progress.startedWaitingCount === 0
}
