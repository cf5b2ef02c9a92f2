/** Dispatches waiting tasks to agents, and passes agents' reports to the calls and submissions they concern. */
import { partitionOf, type AgentIdentity, type Metrics, type SubmissionKey } from '@baobabpost/common'
import type { AdmissionQueue, Lane, WaitingTask } from '@baobabpost/admission'
import type {
  Dispatch, DispatchGroup, Outbox, Report, SubmissionReport, TaskOutcome, TaskReport
} from '@baobabpost/messages'
import type { Outcomes } from '@baobabpost/outcomes'
import type { Ownership } from '@baobabpost/ownership'
import type { Placement, PlacementResult } from '@baobabpost/placement'
import type { Calls } from './calls.js'
import { createInFlightTable } from './in-flight.js'

/** Maximum number of tasks dispatched in one turn of the event loop, which keeps the turns short. */
const MAXIMUM_TASKS_PER_TURN = 2_000

export interface DispatcherOptions {
  readonly queue: AdmissionQueue
  readonly placement: () => Placement
  readonly ownership: Pick<Ownership, 'dispatchEpoch' | 'leaseEnd'>
  readonly outcomes: Outcomes
  readonly calls: Calls
  readonly outbox: Outbox
  readonly metrics: Metrics
}

export interface Dispatcher {
  /**
   * Dispatches waiting tasks to agents with free capacity. Returns whether the limit of one turn was reached, so that
   * another turn should follow at once.
   */
  dispatchWaiting: (now: number) => boolean
  /** Sends tasks again to the agent that holds them. */
  resend: (agent: AgentIdentity, submission: SubmissionKey, indexes: readonly number[], now: number) => void
  /** Marks a task as sent to its agent more than once. */
  markResent: (submission: string, index: number) => void
  /** Handles a dispatch that provably never reached the agent: its tasks did not run and may be sent elsewhere. */
  handleUndelivered: (agent: AgentIdentity, dispatch: Dispatch, now: number) => void
  /** Applies an agent's report, and acknowledges it unless a submission in it has to be reported again. */
  handleReport: (agent: AgentIdentity, report: Report, now: number) => void
  /** Records the tasks in flight at a departed agent as lost. */
  handleAgentDeparture: (agent: AgentIdentity, now: number) => void
  /** Removes the tasks of a partition that this entry no longer owns from the tasks in flight. */
  handlePartitionLoss: (partition: number, now: number) => void
  inFlightCount: () => number
  /** Number of tasks that an agent holds for this entry. Visits every task in flight. */
  inFlightCountAt: (agent: AgentIdentity) => number
}

/** Tasks selected in one turn for one agent, by submission. */
type AgentSelection = Map<string, WaitingTask[]>
type Selections = Map<AgentIdentity, AgentSelection>

function toPlacementResult (outcome: TaskOutcome): PlacementResult {
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

export function createDispatcher (options: DispatcherOptions): Dispatcher {
  const { queue, ownership, outcomes, calls, outbox } = options
  const inFlight = createInFlightTable()

  /** Whether the task's call or submission still waits for it. Other tasks are dropped from the queue silently. */
  function isWanted (task: WaitingTask): boolean {
    return calls.owns(task.submission) || outcomes.isWaiting(task.submission, task.index)
  }

  function mayDispatch (task: WaitingTask, now: number): boolean {
    if (calls.owns(task.submission)) return true
    return ownership.dispatchEpoch(partitionOf(task.submission as SubmissionKey), now) !== undefined
  }

  /**
   * Selects agents for the waiting tasks of a service and returns the number of tasks selected. A task that no agent
   * can take blocks only its own lane: tasks of the other lane may still be selected.
   */
  function selectAgents (service: string, selections: Selections, limit: number, now: number): number {
    const placement = options.placement()
    const heldBackTasks: WaitingTask[] = []
    let remainingLane: Lane | undefined
    let selectedCount = 0
    while (selectedCount < limit && placement.hasFreeCapacity(service, now)) {
      const task = queue.next(service, now, remainingLane)
      if (task === undefined) break
      if (!isWanted(task)) continue
      if (!mayDispatch(task, now)) {
        heldBackTasks.push(task)
        if (heldBackTasks.length >= limit) break
        continue
      }
      const lane: Lane = task.urgent ? 'urgent' : 'jobs'
      const agent = placement.choose(task, now, queue.length(service, lane) + 1)
      if (agent === undefined) {
        heldBackTasks.push(task)
        if (remainingLane !== undefined) break
        remainingLane = task.urgent ? 'jobs' : 'urgent'
        continue
      }
      placement.recordDispatch(agent, task, now)
      inFlight.add(task, agent)
      addToSelections(selections, agent, task)
      selectedCount += 1
    }
    for (const task of heldBackTasks.reverse()) queue.putBack(task)
    return selectedCount
  }

  function addToSelections (selections: Selections, agent: AgentIdentity, task: WaitingTask): void {
    let selection = selections.get(agent)
    if (selection === undefined) {
      selection = new Map()
      selections.set(agent, selection)
    }
    const tasks = selection.get(task.submission)
    if (tasks === undefined) selection.set(task.submission, [task])
    else tasks.push(task)
  }

  function buildGroup (
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
      const group = buildGroup(agent, submission, tasks, now)
      if (group !== undefined) groups.push(group)
      else releaseUnsent(tasks, now)
    }
    if (groups.length === 0) return
    outbox.send(agent, { method: 'dispatch', parameters: { groups, backlog: queue.length(service) } })
  }

  /** Records tasks that were assigned to an agent but not sent as refused, so that placement frees their capacity. */
  function releaseUnsent (tasks: readonly WaitingTask[], now: number): void {
    for (const task of tasks) completeTask(task.submission, task.index, 'refused', 0, now)
  }

  function completeTask (
    submission: string, index: number, result: PlacementResult, runMilliseconds: number, now: number
  ): void {
    const found = inFlight.remove(submission, index)
    if (found === undefined) return
    options.placement().recordResult(found.agent, found.task, result, runMilliseconds, now)
  }

  function applySubmissionReport (agent: AgentIdentity, report: SubmissionReport, now: number): boolean {
    if (report.ownership === undefined) {
      for (const task of report.tasks) {
        completeTask(report.submission, task.index, toPlacementResult(task.outcome), task.runMilliseconds, now)
      }
      options.metrics.count('tasks.finished.count', report.tasks.length)
      calls.handleReport(report, now)
      return true
    }
    const result = outcomes.report(agent, report, now)
    for (const settled of result.settled) {
      completeTask(settled.submission, settled.index, toPlacementResult(settled.outcome), settled.runMilliseconds, now)
    }
    const finished = result.settled.filter(settled => settled.effect === 'finished').length
    if (finished > 0) options.metrics.count('tasks.finished.count', finished)
    return result.acknowledge
  }

  function markResent (submission: string, index: number): void {
    const found = inFlight.find(submission, index)
    if (found !== undefined) found.wasResent = true
  }

  /**
   * Builds a report that declares as not run the tasks of the group that were sent to the agent only once. Another copy
   * of a resent task may have arrived.
   */
  function buildNotRunReport (agent: AgentIdentity, group: DispatchGroup): SubmissionReport {
    const { submission } = group.header
    const tasks: TaskReport[] = []
    for (const { index, attempt } of group.tasks) {
      const found = inFlight.find(submission, index)
      if (found === undefined || found.agent !== agent || found.wasResent) continue
      const attemptField = attempt === undefined ? {} : { attempt }
      tasks.push({ index, ...attemptField, outcome: { status: 'not-run', reason: 'no-worker' }, runMilliseconds: 0 })
    }
    return group.ownership === undefined ? { submission, tasks } : { submission, ownership: group.ownership, tasks }
  }

  return {
    dispatchWaiting (now) {
      const selections: Selections = new Map()
      let remaining = MAXIMUM_TASKS_PER_TURN
      for (const service of queue.services()) {
        remaining -= selectAgents(service, selections, remaining, now)
        if (remaining <= 0) break
      }
      for (const [agent, selection] of selections) sendSelection(agent, selection, now)
      return remaining <= 0
    },

    resend (agent, submission, indexes, now) {
      const epoch = ownership.dispatchEpoch(partitionOf(submission), now)
      if (epoch === undefined) return
      const group = outcomes.buildResendGroup(submission, indexes, agent, epoch, ownership.leaseEnd(now))
      if (group === undefined) return
      for (const { index } of group.tasks) markResent(submission, index)
      outbox.send(agent, { method: 'dispatch', parameters: { groups: [group], backlog: 0 } })
    },

    markResent,

    handleUndelivered (agent, dispatch, now) {
      for (const group of dispatch.groups) {
        const report = buildNotRunReport(agent, group)
        if (report.tasks.length > 0) applySubmissionReport(agent, report, now)
      }
    },

    handleReport (agent, report, now) {
      options.placement().setWindow(agent, report.window)
      let mayAcknowledge = true
      for (const submission of report.submissions) {
        if (!applySubmissionReport(agent, submission, now)) mayAcknowledge = false
      }
      if (!mayAcknowledge || report.submissions.length === 0) return
      outbox.send(agent, { method: 'acknowledge', parameters: { sequences: [report.sequence] } })
    },

    handleAgentDeparture (agent, now) {
      for (const { task } of inFlight.removeWhere(found => found.agent === agent)) {
        options.placement().recordResult(agent, task, 'lost', 0, now)
      }
    },

    handlePartitionLoss (partition, now) {
      const lost = inFlight.removeWhere(({ task }) =>
        !task.submission.includes('/') && partitionOf(task.submission as SubmissionKey) === partition)
      for (const { task, agent } of lost) options.placement().recordResult(agent, task, 'refused', 0, now)
    },

    inFlightCount: inFlight.size,
    inFlightCountAt: inFlight.countAt
  }
}
