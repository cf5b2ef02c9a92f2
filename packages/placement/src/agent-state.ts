/** State that a placement keeps about one agent. */
import type { WaitingTask } from '@baobabpost/admission'
import { type AgentHealth, createAgentHealth } from './agent-health.js'
import type { PlaceableAgent } from './placement.js'
import { type AgentSpeed, createAgentSpeed } from './run-time-model.js'

const WINDOW_SHARE_BEFORE_FIRST_SUCCESS = 0.25
const WAIT_DECAY = 0.9

/** A dispatched task without an outcome. */
export interface OutstandingTask {
  readonly template: string
  readonly dispatchedAt: number
  /** Whether the task tests an agent that was ejected. */
  readonly isProbe: boolean
  readonly urgent: boolean
}

export interface AgentState {
  agent: PlaceableAgent
  /** Number of unfinished tasks that the agent accepts from this entry. */
  window: number
  /** By `taskKey`, oldest first. */
  readonly outstanding: Map<string, OutstandingTask>
  probesOutstanding: number
  urgentOutstanding: number
  /** Decaying maximum of the time that tasks spent between dispatch and completion without running. */
  recentWaitMilliseconds: number
  /** Unix time in milliseconds of the last completion of a task that was not slow. */
  lastNormalCompletionAt: number
  readonly speed: AgentSpeed
  readonly health: AgentHealth
}

export function taskKey (task: WaitingTask): string {
  return `${task.submission}/${task.index}`
}

/** Creates the state of a new agent, with a window of 0 until the agent reports one. */
export function createAgentState (agent: PlaceableAgent, speedLogarithm: number, now: number): AgentState {
  return {
    agent,
    window: 0,
    outstanding: new Map(),
    probesOutstanding: 0,
    urgentOutstanding: 0,
    recentWaitMilliseconds: 0,
    lastNormalCompletionAt: 0,
    speed: createAgentSpeed(speedLogarithm),
    health: createAgentHealth(now)
  }
}

export function addOutstanding (state: AgentState, task: WaitingTask, now: number): void {
  const isProbe = state.health.status === 'probing'
  const { template, urgent } = task
  state.outstanding.set(taskKey(task), { template, dispatchedAt: now, isProbe, urgent })
  if (isProbe) state.probesOutstanding += 1
  if (urgent) state.urgentOutstanding += 1
}

/** Removes and returns an outstanding task; undefined where the task is not outstanding. */
export function removeOutstanding (state: AgentState, task: WaitingTask): OutstandingTask | undefined {
  const key = taskKey(task)
  const outstanding = state.outstanding.get(key)
  if (outstanding === undefined) return undefined
  state.outstanding.delete(key)
  if (outstanding.isProbe) state.probesOutstanding -= 1
  if (outstanding.urgent) state.urgentOutstanding -= 1
  return outstanding
}

/** Updates the estimate of the time that tasks wait at the agent without running. */
export function recordWait (state: AgentState, waitMilliseconds: number): void {
  state.recentWaitMilliseconds = Math.max(waitMilliseconds, state.recentWaitMilliseconds * WAIT_DECAY)
}

/** Number of additional tasks that the agent may get now. */
export function freeCapacityOf (state: AgentState): number {
  const { health, window } = state
  switch (health.status) {
    case 'ejected':
      return 0
    case 'probing':
      return Math.max(0, Math.min(1, window) - state.probesOutstanding)
    case 'active':
      return Math.max(0, restrictedWindow(health, window) - state.outstanding.size)
  }
}

/**
 * Window of an active agent: one task for a suspected agent and part of the window for a new one, which limits the
 * tasks that a faulty agent can fail, as a failure can't be undone.
 */
function restrictedWindow (health: AgentHealth, window: number): number {
  if (health.failureEvidence > 0) return Math.min(window, 1)
  if (!health.hasSucceeded) return Math.ceil(window * WINDOW_SHARE_BEFORE_FIRST_SUCCESS)
  return window
}
