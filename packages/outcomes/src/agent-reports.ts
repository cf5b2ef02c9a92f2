/** Handles agents' reports about tasks, and the tasks of agents that departed without reporting them. */
import type { AgentIdentity, Invariants } from '@baobabpost/common'
import type { SubmissionReport, TaskOutcome, TaskReport } from '@baobabpost/messages'
import type { PartitionState } from '@baobabpost/ownership'
import { attemptNumber, INHERITED_ATTEMPT, type Job, TaskState } from './job.js'
import { isInherited, type JobStore } from './job-store.js'
import type { JobLifecycle } from './job-lifecycle.js'
import type { OutcomesPorts, ReportResult, SettledTask } from './outcomes.js'

export interface AgentReportsOptions {
  readonly ports: OutcomesPorts
  readonly invariants: Invariants
  readonly store: JobStore
  readonly lifecycle: JobLifecycle
  readonly partitionState: (partition: number) => PartitionState
}

export interface AgentReports {
  report: (agent: AgentIdentity, report: SubmissionReport, now: number) => ReportResult
  agentDeparted: (agent: AgentIdentity, now: number) => void
}

const ACKNOWLEDGED: ReportResult = { acknowledge: true, settled: [] }
const REPEAT_LATER: ReportResult = { acknowledge: false, settled: [] }

/**
 * Creates the handler of agents' reports.
 *
 * @example
 * reports.report(agent, report, now).settled
 */
export function createAgentReports (options: AgentReportsOptions): AgentReports {
  const { ports, invariants, store, lifecycle } = options

  /**
   * Handles a report about an unknown submission. During a takeover the submission may still become known, so the agent
   * has to repeat the report.
   */
  function answerUnknown (report: SubmissionReport): ReportResult {
    if (report.ownership === undefined) return ACKNOWLEDGED
    const state = options.partitionState(report.ownership.partition)
    const isTooEarly = state.kind === 'ours' && (state.phase === 'collecting' || state.unaccounted > 0)
    return isTooEarly ? REPEAT_LATER : ACKNOWLEDGED
  }

  /** Whether a refusal answers the task's current dispatch, not an earlier one. */
  function isCurrentRefusal (job: Job, agentNumber: number, report: SubmissionReport, task: TaskReport): boolean {
    const { index, attempt } = task
    if (job.state(index) !== TaskState.dispatched || job.agentNumber(index) !== agentNumber) return false
    const state = options.partitionState(job.partition)
    if (state.kind !== 'ours') return false
    if (isInherited(job, index)) return attempt === undefined || attempt < attemptNumber(state.epoch, INHERITED_ATTEMPT)
    if (attempt !== undefined) return attempt === attemptNumber(state.epoch, job.attempt(index))
    return report.ownership === undefined || report.ownership.epoch === state.epoch
  }

  function handleRefusal (job: Job, agent: AgentIdentity, task: TaskReport, reason: string, now: number): void {
    job.steps.add('refused', 1, now, agent, reason)
    if (task.attempt !== undefined) {
      lifecycle.requeueWithBackoff(job, task.index, now)
      return
    }
    // An agent that sends no attempt number would refuse the task again.
    job.excludedAgents.set(task.index, [...job.excludedAgents.get(task.index) ?? [], agent])
    lifecycle.requeue(job, [task.index], now)
  }

  function settleRefusal (job: Job, agent: AgentIdentity, task: TaskReport, now: number): SettledTask {
    const { outcome, index, runMilliseconds } = task
    const reason = outcome.status === 'not-run' ? outcome.reason : ''
    handleRefusal(job, agent, task, reason, now)
    const effect = job.state(index) === TaskState.finished ? 'finished' : 'requeued'
    return { submission: job.submission, index, outcome, runMilliseconds, effect }
  }

  /** Whether the outcome says that the task started. */
  function hasStarted (outcome: TaskOutcome): boolean {
    return outcome.status === 'succeeded' || outcome.status === 'failed'
  }

  function settleFinished (job: Job, agentNumber: number, task: TaskReport, now: number): SettledTask | undefined {
    const { index, outcome, runMilliseconds } = task
    const state = job.state(index)
    if (state === TaskState.finished) {
      const known = job.outcome(index)
      invariants.check(!(hasStarted(outcome) && known?.status === 'not-run'), 'not-run-never-started',
        () => `${job.submission}/${index} was answered as not run but is reported as ${outcome.status}`)
      return undefined
    }
    if (state === TaskState.waiting) {
      invariants.check(false, 'waiting-task-never-started', () => `${job.submission}/${index} was reported as run while it waited in the queue`)
      ports.removeWaiting(job.submission, new Set([index]))
    }
    if (state === TaskState.dispatched) {
      invariants.check(job.agentNumber(index) === agentNumber, 'one-agent-a-task',
        () => `${job.submission}/${index} is reported by an agent that it was not dispatched to`)
    }
    lifecycle.finish(job, index, outcome, now)
    return { submission: job.submission, index, outcome, runMilliseconds, effect: 'finished' }
  }

  return {
    report (agent, report, now) {
      const job = store.find(report.submission)
      if (job === undefined) return answerUnknown(report)
      const agentNumber = store.agentNumber(agent)
      const settled: SettledTask[] = []
      for (const task of report.tasks) {
        if (task.outcome.status === 'not-run') {
          if (isCurrentRefusal(job, agentNumber, report, task)) settled.push(settleRefusal(job, agent, task, now))
          continue
        }
        const result = settleFinished(job, agentNumber, task, now)
        if (result !== undefined) settled.push(result)
      }
      return { acknowledge: true, settled }
    },

    agentDeparted (agent, now) {
      const agentNumber = store.agentNumber(agent)
      for (const job of store.atAgent(agent)) {
        const indexes = job.indexesAt(agentNumber)
        job.steps.add('agent-lost', indexes.length, now, agent)
        lifecycle.finishAll(job, indexes, { status: 'outcome-unknown', reason: 'agent-lost' }, now)
      }
    }
  }
}
