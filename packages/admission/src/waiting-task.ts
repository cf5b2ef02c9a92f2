/** A task that waits at an entry for an agent. */
export interface WaitingTask {
  /** Submission key of a job, or the identity of one attempt of a single call. */
  readonly submission: string
  readonly index: number
  readonly customer: string
  readonly team: string
  readonly service: string
  readonly template: string
  readonly urgent: boolean
  /** Unix time in milliseconds after which the task must not start. */
  readonly startBefore: number
  /** Unix time in milliseconds at which the task began to wait. */
  readonly waitingSince: number
  /** Estimated run time. */
  readonly expectedMilliseconds: number
  /** Agents that should not get the task, such as those that hold another attempt of the same call. */
  readonly excludedAgents: readonly string[]
}
