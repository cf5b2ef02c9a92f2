/** Contract of the choice of an agent for a task. */
import type { AgentIdentity } from '@baobabpost/common'
import type { WaitingTask } from '@baobabpost/admission'

/** An agent as placement sees it. */
export interface PlaceableAgent {
  readonly identity: AgentIdentity
  readonly service: string
  readonly failureDomain: string
  readonly slots: number
}

/** How a task ended at an agent. `refused` covers every outcome that did not run. */
export type PlacementResult = 'succeeded' | 'failed' | 'refused' | 'lost'

/** A change in the standing of an agent. */
export interface PlacementEvent {
  readonly kind: 'ejected' | 'probing' | 'returned'
  readonly agent: AgentIdentity
  readonly reason: string
}

/** Chooses agents, and learns from what becomes of the tasks. */
export abstract class Placement {
  /** Name of the implementation, as in the policy. */
  abstract readonly name: 'late-binding' | 'two-choices' | 'round-robin'

  /** Adds an agent or updates what is known of it. */
  abstract setAgent (agent: PlaceableAgent): void

  /** Forgets an agent; its tasks are no longer counted. */
  abstract removeAgent (identity: AgentIdentity): void

  /** Sets the number of unfinished tasks of this entry that the agent accepts. */
  abstract setWindow (identity: AgentIdentity, window: number): void

  /** Whether any agent of the service could take a task now, if only an urgent one. */
  abstract hasFreeCapacity (service: string, now: number): boolean

  /**
   * Chooses an agent for the task, or none if it should wait.
   *
   * @param waiting - Tasks that wait in the lane of the task, this one included.
   */
  abstract choose (task: WaitingTask, now: number, waiting: number): AgentIdentity | undefined

  /** Notes that the task was dispatched to the agent. */
  abstract recordDispatch (identity: AgentIdentity, task: WaitingTask, now: number): void

  /** Notes what became of a dispatched task. `runMilliseconds` is 0 where it did not run. */
  abstract recordResult (
    identity: AgentIdentity, task: WaitingTask, result: PlacementResult, runMilliseconds: number, now: number
  ): void

  /** Learned run time of a template, in milliseconds, or undefined where nothing was observed. */
  abstract expectedMilliseconds (template: string): number | undefined

  /** Does what time brings: probes, returns of ejected agents. */
  abstract tick (now: number): readonly PlacementEvent[]
}
