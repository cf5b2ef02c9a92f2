/** Known submissions, indexed by key, by partition and by the agents that hold their tasks. */
import { type AgentIdentity, PARTITION_COUNT } from '@baobabpost/common'
import { INHERITED_ATTEMPT, type HeldTasks, type Job, TaskState } from './job.js'

export interface JobStore {
  find: (submission: string) => Job | undefined
  add: (job: Job) => void
  remove: (job: Job) => void
  inPartition: (partition: number) => ReadonlySet<Job>
  /** Returns the jobs with tasks that are dispatched to the agent. */
  atAgent: (agent: AgentIdentity) => readonly Job[]
  agentNumber: (agent: AgentIdentity) => number
  agentOf: (agentNumber: number) => AgentIdentity | undefined
  /** Marks a task as dispatched; returns the tasks of the job that the agent now holds. */
  dispatch: (job: Job, index: number, agent: AgentIdentity, isInherited: boolean) => HeldTasks
  /** Removes the task from its agent. Must be called before the task's state changes. */
  releaseFromAgent: (job: Job, index: number) => void
  /** Counts submissions and waiters; `parkedWaiters` is added to the waiters. */
  counts: (
    parkedWaiters: number
  ) => { readonly remembered: number, readonly unfinished: number, readonly waiters: number }
}

/**
 * Creates an empty store.
 *
 * @param resendMilliseconds - Time after which a dispatch without a report is sent again.
 */
export function createJobStore (resendMilliseconds: number): JobStore {
  const jobs = new Map<string, Job>()
  const partitions = Array.from({ length: PARTITION_COUNT }, () => new Set<Job>())
  const noJobs: ReadonlySet<Job> = new Set()
  const numberByAgent = new Map<AgentIdentity, number>()
  const agents: AgentIdentity[] = []
  const jobsByAgent: Set<Job>[] = []

  function agentNumber (agent: AgentIdentity): number {
    const known = numberByAgent.get(agent)
    if (known !== undefined) return known
    const number = agents.length
    numberByAgent.set(agent, number)
    agents.push(agent)
    jobsByAgent.push(new Set())
    return number
  }

  function findOrCreateHeldTasks (job: Job, agent: AgentIdentity, number: number): HeldTasks {
    const known = job.heldTasks.get(number)
    if (known !== undefined) return known
    const held = { agent, agentNumber: number, count: 0, resendMilliseconds, isScheduled: false, lastSentAt: 0 }
    job.heldTasks.set(number, held)
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
      for (const number of job.heldTasks.keys()) jobsByAgent[number]?.delete(job)
    },
    inPartition: partition => partitions[partition] ?? noJobs,
    atAgent: agent => {
      const number = numberByAgent.get(agent)
      return number === undefined ? [] : [...jobsByAgent[number] ?? []]
    },
    agentNumber,
    agentOf: number => agents[number],
    dispatch (job, index, agent, isInherited) {
      const number = agentNumber(agent)
      const held = findOrCreateHeldTasks(job, agent, number)
      job.setDispatched(index, number, isInherited)
      held.count += 1
      return held
    },
    releaseFromAgent (job, index) {
      if (job.state(index) !== TaskState.dispatched) return
      const number = job.agentNumber(index)
      const held = job.heldTasks.get(number)
      if (held === undefined) return
      held.count -= 1
      if (held.count > 0) return
      job.heldTasks.delete(number)
      jobsByAgent[number]?.delete(job)
    },
    counts (parkedWaiters) {
      let unfinished = 0
      let waiters = parkedWaiters
      for (const job of jobs.values()) {
        if (job.answer === undefined) unfinished += 1
        waiters += job.waiters.size
      }
      return { remembered: jobs.size, unfinished, waiters }
    }
  }
}

/** Whether the task's dispatch was inherited from an earlier owner. */
export function isInherited (job: Job, index: number): boolean {
  return job.attempt(index) === INHERITED_ATTEMPT
}
