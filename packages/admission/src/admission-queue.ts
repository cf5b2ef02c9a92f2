/** Interface of the admission queue, in which tasks wait at an entry until an agent has free capacity. */
import type { WaitingTask } from './waiting-task.js'

/** Result of offering tasks to the queue. */
export type AdmissionDecision =
  | { readonly kind: 'admitted' }
  | {
    readonly kind: 'refused'
    readonly reason: 'overloaded' | 'quota' | 'deadline'
    readonly retryAfterMilliseconds: number
  }

/** Weight of a customer within its team, and its bound on waiting tasks. */
export interface CustomerShare {
  readonly customer: string
  readonly team: string
  readonly share: number
  readonly maximumQueuedTasks: number
}

/** Weight of a team among all teams, and its bound on waiting tasks. */
export interface TeamShare {
  readonly team: string
  readonly share: number
  readonly maximumQueuedTasks: number
}

/** Number of tasks that the agents of a service can run at once for this entry. */
export interface ServiceCapacity {
  readonly service: string
  /** Slots that this entry may use. */
  readonly slots: number
}

/** Queue within a service: urgent tasks are served before tasks of jobs. */
export type Lane = 'urgent' | 'jobs'

/** Waiting tasks of one entry, by service and lane. */
export interface AdmissionQueue {
  /** Admits either all of the tasks or none. */
  offer: (tasks: readonly WaitingTask[], now: number) => AdmissionDecision
  /** Adds tasks that were admitted before: returned unstarted, or inherited by a takeover. Never refuses them. */
  restore: (tasks: readonly WaitingTask[]) => void
  /**
   * Removes and returns the next task of a service. Urgent tasks come first, apart from a bounded share for jobs;
   * within a lane, teams and customers are served in proportion to their shares. `lane` restricts the choice to one
   * lane.
   */
  next: (service: string, now: number, lane?: Lane) => WaitingTask | undefined
  /** Returns a task from `next` to the head of the queue and refunds its charge. */
  putBack: (task: WaitingTask) => void
  /** Removes and returns all waiting tasks of a submission, or those with the given indexes. */
  withdraw: (submission: string, indexes?: ReadonlySet<number>) => readonly WaitingTask[]
  /** Removes and returns the tasks that can no longer start in time or have waited for the maximum time. */
  expire: (now: number) => readonly WaitingTask[]
  /** Services with waiting tasks. */
  services: () => readonly string[]
  /** Number of waiting tasks in one lane of a service, in a service, or in all services. */
  length: (service?: string, lane?: Lane) => number
  setCustomers: (customers: readonly CustomerShare[]) => void
  setTeams: (teams: readonly TeamShare[]) => void
  setCapacity: (capacity: ServiceCapacity) => void
}
