/** Choice of the upstream for a task. */
import type { AgentView } from './agent-view.js'
import { ENTRY_LEASE_MILLISECONDS, LEASE_MARGIN_MILLISECONDS } from '@baobabpost/fleet-calls'
import {
  ADDITIONAL_AGENT_COST_MILLISECONDS, CONTENTION_COST_SHARE, MAXIMUM_PREFERENCE_COST_MILLISECONDS,
  NO_CAPACITY_COST_MILLISECONDS, REMOTE_DOMAIN_COST_MILLISECONDS, STALE_VIEW_COST_MILLISECONDS
} from './dispatch-limits.js'
import type { JobTask } from './job.js'
import { expectBySlowness, type RunTimeEstimates } from './run-time-estimates.js'

/** Input of a placement decision. */
export interface PlacementRequest {
  readonly task: JobTask
  readonly priority: number
  /** Route of the job. */
  readonly route?: string
  /** Expected run times; by each agent's moving average of run time over estimate if absent. */
  readonly runTimes?: RunTimeEstimates
  /** Agents whose upstreams may run the task. */
  readonly candidates: readonly AgentView[]
  /** Names of the agents chosen for other tasks of the job in the same pass. */
  readonly usedAgents: ReadonlySet<string>
  /** Failure domain of the entry. */
  readonly failureDomain: string
  /** Time from now in which the task must end for its job to meet its objective; 0 if it can not any more. */
  readonly remainingMilliseconds: number
  /** Current time on the entry's steady clock, in milliseconds. */
  readonly now: number
}

/** A chosen agent with the times expected there. */
export interface PlacementChoice {
  readonly agent: AgentView
  /** Expected wait for free capacity at the agent, in milliseconds. */
  readonly waitMilliseconds: number
  /** Expected time from now to the end of the run, in milliseconds. */
  readonly finishMilliseconds: number
}

/** Strategy that chooses upstreams for tasks. */
export abstract class Placement {
  /** Chooses one of the candidates; undefined if there is none. */
  abstract choose (request: PlacementRequest): PlacementChoice | undefined
}

/** Wait assumed at an agent without free capacity whose recent release rate is 0. */
const UNKNOWN_WAIT_MILLISECONDS = 10_000

/**
 * Returns the expected wait for free capacity at an agent, in milliseconds.
 *
 * @param processor - Need of the task, in thousandths of a core.
 * @param priority - Tasks of this priority and of those before it count as ahead in the queue.
 * @example
 * expectedWaitMilliseconds(view, 6_200, 0) // 0 where 6.2 cores are free
 */
export function expectedWaitMilliseconds (view: AgentView, processor: number, priority: number): number {
  const { load } = view
  let queuedProcessor = view.unconfirmedSize.processor
  for (const [level, waitingProcessor] of load.waiting.entries()) {
    if (level > priority) break
    queuedProcessor += waitingProcessor
  }
  const missingProcessor = processor + queuedProcessor - load.free.processor
  if (missingProcessor <= 0) return 0
  return load.releaseRate > 0 ? missingProcessor / load.releaseRate : UNKNOWN_WAIT_MILLISECONDS
}

/** Returns the choice of an upstream for a task, with the times expected there. */
export function estimateChoice (view: AgentView, request: PlacementRequest): PlacementChoice {
  const { step } = request.task
  const waitMilliseconds = expectedWaitMilliseconds(view, step.size.processor, request.priority)
  const runMilliseconds = request.runTimes?.expect(view, step, request.route ?? '') ?? expectBySlowness(view, step)
  return { agent: view, waitMilliseconds, finishMilliseconds: waitMilliseconds + runMilliseconds }
}

/** Share of an upstream's processor that is in use or reserved by this entry, 0 to 1. */
export function utilization (view: AgentView): number {
  const capacity = view.profile?.capacity.processor ?? 0
  if (capacity <= 0) return 1
  return Math.min(1, Math.max(0, 1 - (view.load.free.processor - view.unconfirmedSize.processor) / capacity))
}

/** Age of an agent view as a share of the entry lease, 0 to 1. */
export function staleness (view: AgentView, now: number): number {
  return Math.min(1, Math.max(0, (now - view.lastContactAt) / ENTRY_LEASE_MILLISECONDS))
}

/** Whether an agent refuses orders that are planned with this view of it, as older than the entry lease. */
export function isStale (view: AgentView, now: number): boolean {
  return now - view.lastContactAt >= view.leases.entryMilliseconds - LEASE_MARGIN_MILLISECONDS
}

/**
 * Chooses the upstream where the task is expected to finish first. Cost terms favour upstreams with free capacity, in
 * the entry's failure domain, already used for the job, and seen recently where the finish times are close.
 */
export class EarliestFinishPlacement extends Placement {
  override choose (request: PlacementRequest): PlacementChoice | undefined {
    let best: PlacementChoice | undefined
    let bestCost = Infinity
    for (const view of request.candidates) {
      const choice = estimateChoice(view, request)
      let cost = choice.finishMilliseconds
      if (choice.waitMilliseconds > 0) cost += NO_CAPACITY_COST_MILLISECONDS
      cost += CONTENTION_COST_SHARE * utilization(view) * (choice.finishMilliseconds - choice.waitMilliseconds)
      if (view.profile?.failureDomain !== request.failureDomain) cost += REMOTE_DOMAIN_COST_MILLISECONDS
      if (!request.usedAgents.has(view.name)) cost += ADDITIONAL_AGENT_COST_MILLISECONDS
      cost += STALE_VIEW_COST_MILLISECONDS * staleness(view, request.now) +
        MAXIMUM_PREFERENCE_COST_MILLISECONDS * view.preference
      const { rack } = request.task.step
      const isAway = rack !== undefined && view.profile?.labels.includes(rack) !== true
      // Where the time away is known, it is part of the finish.
      if (isAway && request.runTimes?.knowsAwayTime() !== true) cost += choice.finishMilliseconds
      if (cost >= bestCost) continue
      bestCost = cost
      best = choice
    }
    return best
  }
}
