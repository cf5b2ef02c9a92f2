/** Contract of the waiting queues of an entry. */
import type { WaitingTask } from './waiting-task.js'

/** Answer to an offer of tasks. */
export type AdmissionDecision =
  | { readonly kind: 'admitted' }
  | {
    readonly kind: 'refused'
    readonly reason: 'overloaded' | 'quota' | 'deadline'
    readonly retryAfterMilliseconds: number
  }

/** Share of a customer within its team. */
export interface CustomerShare {
  readonly customer: string
  readonly team: string
  readonly share: number
  readonly maximumQueuedTasks: number
}

/** Share of a team among all teams. */
export interface TeamShare {
  readonly team: string
  readonly share: number
  readonly maximumQueuedTasks: number
}

/** What the agents of a service can run. */
export interface ServiceCapacity {
  readonly service: string
  /** Slots that this entry may fill. */
  readonly slots: number
}

/** Lane of a service: urgent tasks go ahead of jobs. */
export type Lane = 'urgent' | 'jobs'

/** The waiting queues of one entry. */
export interface AdmissionQueue {
  /** Takes all tasks or none. */
  offer: (tasks: readonly WaitingTask[], now: number) => AdmissionDecision
  /** Takes tasks that were admitted before and came back unstarted, or came by takeover; never refuses. */
  restore: (tasks: readonly WaitingTask[]) => void
  /**
   * Takes out the next task of a service: urgent first but for a bounded share of jobs, then teams and customers by
   * share. With a lane, the next of that lane.
   */
  next: (service: string, now: number, lane?: Lane) => WaitingTask | undefined
  /** Puts a task that `next` gave back at the head. */
  putBack: (task: WaitingTask) => void
  /** Takes out all waiting tasks of a submission, or those with the given indexes. */
  withdraw: (submission: string, indexes?: ReadonlySet<number>) => readonly WaitingTask[]
  /** Takes out the tasks whose time to start has passed. */
  expire: (now: number) => readonly WaitingTask[]
  /** Services with waiting tasks. */
  services: () => readonly string[]
  /** Number of waiting tasks of a service, of one of its lanes, or of all. */
  length: (service?: string, lane?: Lane) => number
  setCustomers: (customers: readonly CustomerShare[]) => void
  setTeams: (teams: readonly TeamShare[]) => void
  setCapacity: (capacity: ServiceCapacity) => void
}
