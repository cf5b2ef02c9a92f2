/** What placement keeps about one agent. */
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
  /** Whether it tests an agent that was ejected. */
  readonly isProbe: boolean
  readonly urgent: boolean
}

/** An agent with its outstanding tasks. */
export interface AgentState {
  agent: PlaceableAgent
  /** Unfinished tasks of this entry that the agent accepts. */
  window: number
  /** By `taskName`, oldest first. */
  readonly outstanding: Map<string, OutstandingTask>
  probesOutstanding: number
  urgentOutstanding: number
  /** Longest recent time between the dispatch and the end of a task in which it did not run, milliseconds. */
  recentWaitMilliseconds: number
  /** Unix time in milliseconds of the last end of a task that was not slow. */
  lastNormalCompletionAt: number
  readonly speed: AgentSpeed
  readonly health: AgentHealth
}

/** Name of a task among the outstanding ones. */
export function taskKey (task: WaitingTask): string {
  return `${task.submission}/${task.index}`
}

/** Makes the state of a new agent whose window is not known yet. */
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

/** Notes a dispatched task. */
export function addOutstanding (state: AgentState, task: WaitingTask, now: number): void {
  const isProbe = state.health.status === 'probing'
  const { template, urgent } = task
  state.outstanding.set(taskKey(task), { template, dispatchedAt: now, isProbe, urgent })
  if (isProbe) state.probesOutstanding += 1
  if (urgent) state.urgentOutstanding += 1
}

/** Takes out a task that ended; undefined where it is not known. */
export function removeOutstanding (state: AgentState, task: WaitingTask): OutstandingTask | undefined {
  const key = taskKey(task)
  const outstanding = state.outstanding.get(key)
  if (outstanding === undefined) return undefined
  state.outstanding.delete(key)
  if (outstanding.isProbe) state.probesOutstanding -= 1
  if (outstanding.urgent) state.urgentOutstanding -= 1
  return outstanding
}

/** Learns how long tasks wait at the agent before they run. */
export function recordWait (state: AgentState, waitMilliseconds: number): void {
  state.recentWaitMilliseconds = Math.max(waitMilliseconds, state.recentWaitMilliseconds * WAIT_DECAY)
}

/** Number of further tasks that the agent may get now. */
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

/** A suspected worker gets single tasks, and a new one a part, as a failed task can't be undone. */
function restrictedWindow (health: AgentHealth, window: number): number {
  if (health.failureEvidence > 0) return Math.min(window, 1)
  if (!health.hasSucceeded) return Math.ceil(window * WINDOW_SHARE_BEFORE_FIRST_SUCCESS)
  return window
}
