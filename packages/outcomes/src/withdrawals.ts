/** Withdrawals of cancelled tasks, batched into one message for each agent and turn of the event loop. */
import type { AgentIdentity, SubmissionKey } from '@baobabpost/common'
import type { TaskSelection } from '@baobabpost/messages'
import type { HeldTasks, Job } from './job.js'
import type { JobStore } from './job-store.js'
import type { OutcomesPorts } from './outcomes.js'

export interface WithdrawalsOptions {
  readonly ports: OutcomesPorts
  readonly store: JobStore
  /** Schedules the expiry of a job and the resends to the agents that hold its tasks. */
  readonly scheduleTimers: (job: Job, now: number) => void
}

export interface Withdrawals {
  /** Withdraws all tasks of a job that an agent holds. */
  add: (job: Job, held: HeldTasks) => void
  /**
   * Records the cancellation of tasks that were never sent to an agent: marks them as dispatched to an agent and
   * withdraws them there, so that the agent's report finishes them. Without the agent's record a later owner that
   * receives a delayed resubmission would not know of the cancellation and would run the tasks. Returns whether an
   * agent was available.
   */
  recordAtAgent: (job: Job, indexes: readonly number[], now: number) => boolean
  /** Sends the batched withdrawals. */
  flush: (now: number) => void
}

/**
 * Creates the withdrawals of an owner, with none pending.
 *
 * @example
 * withdrawals.recordAtAgent(job, job.indexesIn(TaskState.waiting), now)
 */
export function createWithdrawals (options: WithdrawalsOptions): Withdrawals {
  const { ports, store } = options
  const pending = new Map<AgentIdentity, Map<SubmissionKey, number[]>>()

  function selectionOf (submission: SubmissionKey, indexes: readonly number[]): TaskSelection {
    const job = store.find(submission)
    const state = job === undefined ? undefined : ports.partitionState(job.partition)
    if (job === undefined || state?.kind !== 'ours') return { submission, indexes }
    const ownership = { partition: job.partition, epoch: state.epoch }
    return { submission, indexes, origin: { header: job.header, ownership } }
  }

  return {
    add (job, held) {
      let selections = pending.get(held.agent)
      if (selections === undefined) {
        selections = new Map()
        pending.set(held.agent, selections)
      }
      selections.set(job.submission, job.indexesAt(held.agentNumber))
    },

    recordAtAgent (job, indexes, now) {
      if (indexes.length === 0) return false
      const [holder] = job.heldTasks.values()
      const agent = holder?.agent ?? ports.recordingAgent?.()
      if (agent === undefined) return false
      for (const index of indexes) store.dispatch(job, index, agent, false)
      options.scheduleTimers(job, now)
      return true
    },

    flush (now) {
      if (pending.size === 0) return
      const agents = [...pending]
      pending.clear()
      for (const [agent, selections] of agents) {
        const taskSelections = Array.from(selections, ([submission, indexes]) => selectionOf(submission, indexes))
        ports.withdraw(agent, taskSelections, now)
      }
    }
  }
}
