/** A task that waits at an entry for an agent. */

/** One task in a waiting queue. */
export interface WaitingTask {
  /** Submission key, or the identity of one attempt of a single call. */
  readonly submission: string
  readonly index: number
  readonly customer: string
  readonly team: string
  readonly service: string
  readonly template: string
  readonly urgent: boolean
  /** Unix time in milliseconds after which the task must not start. */
  readonly startBefore: number
  /** Unix time in milliseconds at which it began to wait. */
  readonly waitingSince: number
  /** Best estimate of the run time. */
  readonly expectedMilliseconds: number
  /** Agents that must not get it, such as those that hold another attempt of the same call. */
  readonly excludedAgents: readonly string[]
}
