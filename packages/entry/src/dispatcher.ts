/** Moves tasks from the waiting queue to agents, and what agents report back to where it belongs. */
import { partitionOf, type AgentIdentity, type Metrics, type SubmissionKey } from '@baobabpost/common'
import type { AdmissionQueue, Lane, WaitingTask } from '@baobabpost/admission'
import type {
  Dispatch, DispatchGroup, Outbox, Report, SubmissionReport, TaskOutcome, TaskReport
} from '@baobabpost/messages'
import type { Outcomes } from '@baobabpost/outcomes'
import type { Ownership } from '@baobabpost/ownership'
import type { Placement, PlacementResult } from '@baobabpost/placement'
import type { Calls } from './calls.js'
import { createInFlight } from './in-flight.js'

/** Most tasks that one turn of the loop dispatches, so that a turn stays short. */
const MAXIMUM_TASKS_PER_TURN = 2_000

/** What the dispatcher needs. */
export interface DispatcherOptions {
  readonly queue: AdmissionQueue
  readonly placement: () => Placement
  readonly ownership: Pick<Ownership, 'dispatchEpoch' | 'leaseEnd'>
  readonly outcomes: Outcomes
  readonly calls: Calls
  readonly outbox: Outbox
  readonly metrics: Metrics
}

/** Moves tasks to agents and reports back. */
export interface Dispatcher {
  /** Dispatches what can go now; gives whether more could go in the next turn. */
  pump: (now: number) => boolean
  /** Sends tasks again to the agent that has them. */
  resend: (agent: AgentIdentity, submission: SubmissionKey, indexes: readonly number[], now: number) => void
  /** Notes that a task was sent to its agent again. */
  noteResent: (submission: string, index: number) => void
  /** Takes in that a dispatch provably never reached the agent: its tasks did not run and may go elsewhere. */
  undelivered: (agent: AgentIdentity, dispatch: Dispatch, now: number) => void
  /** Takes in a report and acknowledges it. */
  report: (agent: AgentIdentity, report: Report, now: number) => void
  /** The agent is gone: its tasks no longer count. */
  agentDeparted: (agent: AgentIdentity, now: number) => void
  /** The partition moved away: its tasks no longer count here. */
  partitionLost: (partition: number, now: number) => void
  inFlight: () => number
  /** Tasks that an agent holds for this entry; looks at all of them. */
  inFlightAt: (agent: AgentIdentity) => number
}

/** Tasks chosen in one turn for one agent, by submission. */
type AgentSelection = Map<string, WaitingTask[]>
type Selections = Map<AgentIdentity, AgentSelection>

function placementResult (outcome: TaskOutcome): PlacementResult {
  switch (outcome.status) {
    case 'succeeded':
      return 'succeeded'
    case 'failed':
      return 'failed'
    case 'not-run':
      return 'refused'
    case 'outcome-unknown':
      return 'lost'
  }
}

/** Makes the dispatcher of an entry. */
export function createDispatcher (options: DispatcherOptions): Dispatcher {
  const { queue, ownership, outcomes, calls, outbox } = options
  const inFlight = createInFlight()

  /** Whether the task is still wanted; one that isn't leaves the queue without a trace. */
  function isWanted (task: WaitingTask): boolean {
    return calls.owns(task.submission) || outcomes.isWaiting(task.submission, task.index)
  }

  function mayGo (task: WaitingTask, now: number): boolean {
    if (calls.owns(task.submission)) return true
    return ownership.dispatchEpoch(partitionOf(task.submission as SubmissionKey), now) !== undefined
  }

  /**
   * Chooses agents for the tasks of a service. A task that has to wait for its agent holds up its lane alone: the
   * other lane may still go.
   */
  function select (service: string, selections: Selections, limit: number, now: number): number {
    const placement = options.placement()
    const heldBack: WaitingTask[] = []
    let openLane: Lane | undefined
    let selected = 0
    while (selected < limit && placement.hasFreeCapacity(service, now)) {
      const task = queue.next(service, now, openLane)
      if (task === undefined) break
      if (!isWanted(task)) continue
      if (!mayGo(task, now)) {
        heldBack.push(task)
        if (heldBack.length >= limit) break
        continue
      }
      const lane: Lane = task.urgent ? 'urgent' : 'jobs'
      const agent = placement.choose(task, now, queue.length(service, lane) + 1)
      if (agent === undefined) {
        heldBack.push(task)
        if (openLane !== undefined) break
        openLane = task.urgent ? 'jobs' : 'urgent'
        continue
      }
      placement.recordDispatch(agent, task, now)
      inFlight.add(task, agent)
      noteSelection(selections, agent, task)
      selected += 1
    }
    for (const task of heldBack.reverse()) queue.putBack(task)
    return selected
  }

  function noteSelection (selections: Selections, agent: AgentIdentity, task: WaitingTask): void {
    let selection = selections.get(agent)
    if (selection === undefined) {
      selection = new Map()
      selections.set(agent, selection)
    }
    const tasks = selection.get(task.submission)
    if (tasks === undefined) selection.set(task.submission, [task])
    else tasks.push(task)
  }

  function groupFor (
    agent: AgentIdentity, submission: string, tasks: readonly WaitingTask[], now: number
  ): DispatchGroup | undefined {
    if (calls.owns(submission)) return calls.dispatch(submission, agent, now)
    const epoch = ownership.dispatchEpoch(partitionOf(submission as SubmissionKey), now)
    if (epoch === undefined) return undefined
    return outcomes.dispatch(submission, tasks.map(task => task.index), agent, epoch, ownership.leaseEnd(now), now)
  }

  function sendSelection (agent: AgentIdentity, selection: AgentSelection, now: number): void {
    const groups: DispatchGroup[] = []
    let service = ''
    for (const [submission, tasks] of selection) {
      service = tasks[0]?.service ?? service
      const group = groupFor(agent, submission, tasks, now)
      if (group !== undefined) groups.push(group)
      else release(tasks, now)
    }
    if (groups.length === 0) return
    outbox.send(agent, { method: 'dispatch', parameters: { groups, backlog: queue.length(service) } })
  }

  /** Takes back the count of tasks that were chosen and then not sent. */
  function release (tasks: readonly WaitingTask[], now: number): void {
    for (const task of tasks) settle(task.submission, task.index, 'refused', 0, now)
  }

  function settle (
    submission: string, index: number, result: PlacementResult, runMilliseconds: number, now: number
  ): void {
    const found = inFlight.remove(submission, index)
    if (found === undefined) return
    options.placement().recordResult(found.agent, found.task, result, runMilliseconds, now)
  }

  function reportSubmission (agent: AgentIdentity, report: SubmissionReport, now: number): boolean {
    if (report.ownership === undefined) {
      for (const task of report.tasks) {
        settle(report.submission, task.index, placementResult(task.outcome), task.runMilliseconds, now)
      }
      options.metrics.count('tasks.finished.count', report.tasks.length)
      calls.report(report, now)
      return true
    }
    const result = outcomes.report(agent, report, now)
    for (const settled of result.settled) {
      settle(settled.submission, settled.index, placementResult(settled.outcome), settled.runMilliseconds, now)
    }
    const finished = result.settled.filter(settled => settled.effect === 'finished').length
    if (finished > 0) options.metrics.count('tasks.finished.count', finished)
    return result.acknowledge
  }

  function noteResent (submission: string, index: number): void {
    const found = inFlight.find(submission, index)
    if (found !== undefined) found.resent = true
  }

  /** Reports as not run what was sent to the agent in this one copy only. */
  function provenUndelivered (agent: AgentIdentity, group: DispatchGroup): SubmissionReport {
    const { submission } = group.header
    const tasks: TaskReport[] = []
    for (const { index, attempt } of group.tasks) {
      const found = inFlight.find(submission, index)
      if (found === undefined || found.agent !== agent || found.resent) continue
      const named = attempt === undefined ? {} : { attempt }
      tasks.push({ index, ...named, outcome: { status: 'not-run', reason: 'no-worker' }, runMilliseconds: 0 })
    }
    return group.ownership === undefined ? { submission, tasks } : { submission, ownership: group.ownership, tasks }
  }

  return {
    pump (now) {
      const selections: Selections = new Map()
      let left = MAXIMUM_TASKS_PER_TURN
      for (const service of queue.services()) {
        left -= select(service, selections, left, now)
        if (left <= 0) break
      }
      for (const [agent, selection] of selections) sendSelection(agent, selection, now)
      return left <= 0
    },

    resend (agent, submission, indexes, now) {
      const epoch = ownership.dispatchEpoch(partitionOf(submission), now)
      if (epoch === undefined) return
      const group = outcomes.buildResendGroup(submission, indexes, agent, epoch, ownership.leaseEnd(now))
      if (group === undefined) return
      for (const { index } of group.tasks) noteResent(submission, index)
      outbox.send(agent, { method: 'dispatch', parameters: { groups: [group], backlog: 0 } })
    },

    noteResent,

    undelivered (agent, dispatch, now) {
      for (const group of dispatch.groups) {
        const report = provenUndelivered(agent, group)
        if (report.tasks.length > 0) reportSubmission(agent, report, now)
      }
    },

    report (agent, report, now) {
      options.placement().setWindow(agent, report.window)
      let takenIn = true
      for (const submission of report.submissions) {
        if (!reportSubmission(agent, submission, now)) takenIn = false
      }
      if (!takenIn || report.submissions.length === 0) return
      outbox.send(agent, { method: 'acknowledge', parameters: { sequences: [report.sequence] } })
    },

    agentDeparted (agent, now) {
      for (const { task } of inFlight.removeWhere(found => found.agent === agent)) {
        options.placement().recordResult(agent, task, 'lost', 0, now)
      }
    },

    partitionLost (partition, now) {
      const lost = inFlight.removeWhere(({ task }) =>
        !task.submission.includes('/') && partitionOf(task.submission as SubmissionKey) === partition)
      for (const { task, agent } of lost) options.placement().recordResult(agent, task, 'refused', 0, now)
    },

    inFlight: inFlight.size,
    inFlightAt: inFlight.countAt
  }
}
