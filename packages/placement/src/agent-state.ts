/** What placement keeps about one agent. */
import type { WaitingTask } from '@baobabpost/admission'
import { type AgentHealth, createAgentHealth } from './agent-health.js'
import type { PlaceableAgent } from './placement.js'
import { type AgentSpeed, createAgentSpeed } from './run-time-model.js'

const PART_OF_WINDOW_BEFORE_PROVEN = 0.25

/** A dispatched task without an outcome. */
export interface OutstandingTask {
  readonly template: string
  readonly dispatchedAt: number
  /** Whether it tests an agent that was ejected. */
  readonly probe: boolean
}

/** An agent with its outstanding tasks. */
export interface AgentState {
  agent: PlaceableAgent
  /** Unfinished tasks of this entry that the agent accepts. */
  window: number
  /** By `taskName`, oldest first. */
  readonly outstanding: Map<string, OutstandingTask>
  probesOutstanding: number
  readonly speed: AgentSpeed
  readonly health: AgentHealth
}

/** Name of a task among the outstanding ones. */
export function taskName (task: WaitingTask): string {
  return `${task.submission}/${task.index}`
}

/** Makes the state of a new agent whose window is not known yet. */
export function createAgentState (agent: PlaceableAgent, speedLogarithm: number, now: number): AgentState {
  return {
    agent,
    window: 0,
    outstanding: new Map(),
    probesOutstanding: 0,
    speed: createAgentSpeed(speedLogarithm),
    health: createAgentHealth(now)
  }
}

/** Number of further tasks that the agent may get now. */
export function roomOf (state: AgentState): number {
  const { health, window } = state
  switch (health.standing) {
    case 'ejected':
      return 0
    case 'probing':
      return Math.max(0, Math.min(1, window) - state.probesOutstanding)
    case 'active':
      return Math.max(0, restrictedWindow(health, window) - state.outstanding.size)
  }
}

/** A suspected worker gets single tasks, and a new one a part, as a failed task can't be undone. */
function restrictedWindow (health: AgentHealth, window: number): number {
  if (health.failureEvidence > 0) return Math.min(window, 1)
  if (!health.proven) return Math.ceil(window * PART_OF_WINDOW_BEFORE_PROVEN)
  return window
}
