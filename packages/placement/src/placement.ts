/** Interface of placement: the choice of an agent for each task. */
import type { AgentIdentity } from '@baobabpost/common'
import type { WaitingTask } from '@baobabpost/admission'

export interface PlaceableAgent {
  readonly identity: AgentIdentity
  readonly service: string
  readonly failureDomain: string
  readonly slots: number
}

/** Result of a dispatched task; `refused` stands for every task that did not run, `lost` for an unknown outcome. */
export type PlacementResult = 'succeeded' | 'failed' | 'refused' | 'lost'

/** Change in the health status of an agent. */
export interface PlacementEvent {
  readonly kind: 'ejected' | 'probing' | 'returned'
  readonly agent: AgentIdentity
  readonly reason: string
}

/** Chooses agents for tasks and learns from the results. */
export abstract class Placement {
  /** Name of the implementation in the policy. */
  abstract readonly name: 'late-binding' | 'two-choices' | 'round-robin'

  /** Adds an agent or updates its properties. */
  abstract setAgent (agent: PlaceableAgent): void

  /** Removes an agent with its outstanding tasks. */
  abstract removeAgent (identity: AgentIdentity): void

  /** Sets the number of unfinished tasks that the agent accepts from this entry. */
  abstract setWindow (identity: AgentIdentity, window: number): void

  /** Whether any agent of the service may get another task now, even if only an urgent one. */
  abstract hasFreeCapacity (service: string, now: number): boolean

  /**
   * Chooses an agent for the task; undefined if the task should keep waiting.
   *
   * @param waitingCount - Number of tasks that wait in the lane of the task, including the task itself.
   */
  abstract choose (task: WaitingTask, now: number, waitingCount: number): AgentIdentity | undefined

  /** Records that the task was dispatched to the agent. */
  abstract recordDispatch (identity: AgentIdentity, task: WaitingTask, now: number): void

  /** Records the result of a dispatched task; `runMilliseconds` is 0 where the task did not run. */
  abstract recordResult (
    identity: AgentIdentity, task: WaitingTask, result: PlacementResult, runMilliseconds: number, now: number
  ): void

  /** Learned run time of a template, in milliseconds, or undefined where nothing was observed. */
  abstract expectedMilliseconds (template: string): number | undefined

  /**
   * Ejects agents with overdue tasks, starts probes of ejected agents whose time is over, and returns the status
   * changes since the previous call.
   */
  abstract tick (now: number): readonly PlacementEvent[]
}
