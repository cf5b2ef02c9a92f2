/** Withdrawals of cancelled tasks: gathered by agent, one message for each agent and turn of the loop. */
import type { AgentIdentity, SubmissionKey } from '@baobabpost/common'
import type { TaskSelection } from '@baobabpost/messages'
import type { HeldTasks, Job } from './job.js'
import type { JobStore } from './job-store.js'
import type { OutcomesPorts } from './outcomes.js'

/** What the withdrawals work with. */
export interface WithdrawalsOptions {
  readonly ports: OutcomesPorts
  readonly store: JobStore
  /** Begins to watch what agents hold of a job. */
  readonly watch: (job: Job, now: number) => void
}

/** Withdrawals of one owner. */
export interface Withdrawals {
  /** Withdraws all that an agent holds of a job. */
  add: (job: Job, held: HeldTasks) => void
  /**
   * Lets an agent keep the record that tasks were cancelled which were never sent anywhere: they count as dispatched
   * there, to be withdrawn, and end once it says so. Without the record a next owner that gets a resubmission which
   * was under way would know nothing of the cancellation, and run them. Tells whether there is such an agent.
   */
  record: (job: Job, indexes: readonly number[], now: number) => boolean
  /** Sends what was gathered. */
  flush: (now: number) => void
}

/**
 * Makes the withdrawals of an owner, none of them gathered.
 *
 * @example
 * withdrawals.record(job, job.indexesIn(TaskState.waiting), now)
 */
export function createWithdrawals (options: WithdrawalsOptions): Withdrawals {
  const { ports, store } = options
  const gathered = new Map<AgentIdentity, Map<SubmissionKey, number[]>>()

  function selectionOf (submission: SubmissionKey, indexes: readonly number[]): TaskSelection {
    const job = store.find(submission)
    const state = job === undefined ? undefined : ports.partitionState(job.partition)
    if (job === undefined || state?.kind !== 'ours') return { submission, indexes }
    const ownership = { partition: job.partition, epoch: state.epoch }
    return { submission, indexes, origin: { header: job.header, ownership } }
  }

  return {
    add (job, held) {
      let selections = gathered.get(held.agent)
      if (selections === undefined) {
        selections = new Map()
        gathered.set(held.agent, selections)
      }
      selections.set(job.submission, job.indexesAt(held.agentNumber))
    },

    record (job, indexes, now) {
      if (indexes.length === 0) return false
      const [holder] = job.held.values()
      const agent = holder?.agent ?? ports.recordingAgent?.()
      if (agent === undefined) return false
      for (const index of indexes) store.dispatch(job, index, agent, false)
      options.watch(job, now)
      return true
    },

    flush (now) {
      if (gathered.size === 0) return
      const agents = [...gathered]
      gathered.clear()
      for (const [agent, selections] of agents) {
        const wanted = Array.from(selections, ([submission, indexes]) => selectionOf(submission, indexes))
        ports.withdraw(agent, wanted, now)
      }
    }
  }
}
