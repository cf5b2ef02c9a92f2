/** Choice of the upstream for a task. */
import type { AgentView } from './agent-view.js'
import { ENTRY_LEASE_MILLISECONDS } from '@baobabpost/fleet-calls'
import {
  CROWDED_SHARE, FAR_MILLISECONDS, NO_ROOM_MILLISECONDS, OLD_VIEW_MILLISECONDS, PREFERENCE_MILLISECONDS,
  SPREAD_MILLISECONDS
} from './dispatch-limits.js'
import type { JobTask } from './job.js'

/** What a placement decides from. */
export interface PlacementRequest {
  readonly task: JobTask
  readonly priority: number
  /** Agents whose upstreams may run the task. */
  readonly candidates: readonly AgentView[]
  /** Agents that other tasks of the job go to. */
  readonly used: ReadonlySet<string>
  /** Failure domain of the entry. */
  readonly failureDomain: string
  /** Entry's steady clock, in milliseconds. */
  readonly now: number
}

/** A choice, with what is expected of it. */
export interface PlacementChoice {
  readonly agent: AgentView
  /** Expected wait for room there, in milliseconds. */
  readonly waitMilliseconds: number
  /** Expected time until the end of the run, in milliseconds. */
  readonly finishMilliseconds: number
}

/** Chooses upstreams for tasks. */
export abstract class Placement {
  /** Chooses one of the candidates; undefined if there is none. */
  abstract choose (question: PlacementRequest): PlacementChoice | undefined
}

/** Wait assumed where work waits and nothing is known to end. */
const UNKNOWN_WAIT_MILLISECONDS = 10_000

/**
 * Expected wait for room at an agent, in milliseconds.
 *
 * @example
 * expectedWait(view, 6_200, 0) // 0 where 6.2 cores are free
 */
export function expectedWaitMilliseconds (view: AgentView, processor: number, priority: number): number {
  const { room } = view
  let ahead = view.unanswered.processor
  for (let level = 0; level <= priority; level += 1) ahead += room.waiting[level] ?? 0
  const missing = processor + ahead - room.free.processor
  if (missing <= 0) return 0
  return room.releaseRate > 0 ? missing / room.releaseRate : UNKNOWN_WAIT_MILLISECONDS
}

function expect (view: AgentView, question: PlacementRequest): PlacementChoice {
  const { step } = question.task
  const waitMilliseconds = expectedWaitMilliseconds(view, step.size.processor, question.priority)
  const finishMilliseconds = waitMilliseconds + step.estimateMilliseconds * view.room.slowness
  return { agent: view, waitMilliseconds, finishMilliseconds }
}

/** Share of an upstream's processor that is taken, 0 to 1. */
function crowding (view: AgentView): number {
  const capacity = view.profile?.capacity.processor ?? 0
  if (capacity <= 0) return 1
  return Math.min(1, Math.max(0, 1 - (view.room.free.processor - view.unanswered.processor) / capacity))
}

/** How old what is known of an agent is, from 0 to 1 for a lease or more. */
function staleness (view: AgentView, now: number): number {
  return Math.min(1, Math.max(0, (now - view.heardReceivedAt) / ENTRY_LEASE_MILLISECONDS))
}

/** Takes the upstream where the task is expected to end first; near ones, and those of the job, when it is close. */
export class EarliestFinishPlacement extends Placement {
  override choose (question: PlacementRequest): PlacementChoice | undefined {
    let best: PlacementChoice | undefined
    let bestCost = Infinity
    for (const view of question.candidates) {
      const choice = expect(view, question)
      let cost = choice.finishMilliseconds
      if (choice.waitMilliseconds > 0) cost += NO_ROOM_MILLISECONDS
      cost += CROWDED_SHARE * crowding(view) * (choice.finishMilliseconds - choice.waitMilliseconds)
      if (view.profile?.failureDomain !== question.failureDomain) cost += FAR_MILLISECONDS
      if (!question.used.has(view.name)) cost += SPREAD_MILLISECONDS
      cost += OLD_VIEW_MILLISECONDS * staleness(view, question.now) + PREFERENCE_MILLISECONDS * view.preference
      const { rack } = question.task.step
      if (rack !== undefined && view.profile?.labels.includes(rack) !== true) cost += choice.finishMilliseconds
      if (cost >= bestCost) continue
      bestCost = cost
      best = choice
    }
    return best
  }
}
