/** The remembered submissions, by key, by partition and by the agents that hold tasks of them. */
import { type AgentIdentity, PARTITION_COUNT } from '@baobabpost/common'
import { FOREIGN_ATTEMPT, type HeldTasks, type Job, TaskState } from './job.js'

/** The remembered submissions. */
export interface JobStore {
  find: (submission: string) => Job | undefined
  add: (job: Job) => void
  remove: (job: Job) => void
  inPartition: (partition: number) => ReadonlySet<Job>
  /** Jobs that have tasks at the agent. */
  atAgent: (agent: AgentIdentity) => readonly Job[]
  agentNumber: (agent: AgentIdentity) => number
  agentOf: (agentNumber: number) => AgentIdentity | undefined
  /** Notes a task as dispatched and gives what the agent holds of the job, and the attempt. */
  dispatch: (job: Job, index: number, agent: AgentIdentity, foreign: boolean) => HeldTasks
  /** The task is no longer at its agent. Call it before the task's state changes. */
  release: (job: Job, index: number) => void
  /** Numbers of submissions and of those who wait, with the number of parked waiters added. */
  counts: (parked: number) => { readonly remembered: number, readonly unfinished: number, readonly waiters: number }
}

/**
 * Makes an empty store.
 *
 * @param resendMilliseconds - Time after which a dispatch without a report is sent again.
 */
export function createJobStore (resendMilliseconds: number): JobStore {
  const jobs = new Map<string, Job>()
  const partitions = Array.from({ length: PARTITION_COUNT }, () => new Set<Job>())
  const none: ReadonlySet<Job> = new Set()
  const numbers = new Map<AgentIdentity, number>()
  const agents: AgentIdentity[] = []
  const jobsByAgent: Set<Job>[] = []

  function agentNumber (agent: AgentIdentity): number {
    const known = numbers.get(agent)
    if (known !== undefined) return known
    const number = agents.length
    numbers.set(agent, number)
    agents.push(agent)
    jobsByAgent.push(new Set())
    return number
  }

  function hold (job: Job, agent: AgentIdentity, number: number): HeldTasks {
    const known = job.held.get(number)
    if (known !== undefined) return known
    const held = { agent, agentNumber: number, count: 0, resendMilliseconds, isScheduled: false, lastSentAt: 0 }
    job.held.set(number, held)
    jobsByAgent[number]?.add(job)
    return held
  }

  return {
    find: submission => jobs.get(submission),
    add (job) {
      jobs.set(job.submission, job)
      partitions[job.partition]?.add(job)
    },
    remove (job) {
      jobs.delete(job.submission)
      partitions[job.partition]?.delete(job)
      for (const number of job.held.keys()) jobsByAgent[number]?.delete(job)
    },
    inPartition: partition => partitions[partition] ?? none,
    atAgent: agent => {
      const number = numbers.get(agent)
      return number === undefined ? [] : [...jobsByAgent[number] ?? []]
    },
    agentNumber,
    agentOf: number => agents[number],
    dispatch (job, index, agent, foreign) {
      const number = agentNumber(agent)
      const held = hold(job, agent, number)
      job.setDispatched(index, number, foreign)
      held.count += 1
      return held
    },
    release (job, index) {
      if (job.state(index) !== TaskState.dispatched) return
      const number = job.agentNumber(index)
      const held = job.held.get(number)
      if (held === undefined) return
      held.count -= 1
      if (held.count > 0) return
      job.held.delete(number)
      jobsByAgent[number]?.delete(job)
    },
    counts (parked) {
      let unfinished = 0
      let waiters = parked
      for (const job of jobs.values()) {
        if (job.answer === undefined) unfinished += 1
        waiters += job.waiters.size
      }
      return { remembered: jobs.size, unfinished, waiters }
    }
  }
}

/** Whether the task was last dispatched by an earlier owner. */
export function isForeign (job: Job, index: number): boolean {
  return job.attempt(index) === FOREIGN_ATTEMPT
}
