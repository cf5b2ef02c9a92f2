/** Placement that keeps fast upstreams for the tasks that need them, and spreads the entries' choices. */
import type { Random } from '@baobabpost/common'
import {
  EarliestFinishPlacement, estimateChoice, isStale, Placement, staleness, utilization, type PlacementChoice,
  type PlacementRequest
} from './placement.js'
import { USUAL_ANSWER_MARGIN_MILLISECONDS } from './run-time-estimates.js'

/** Number of upstreams that are compared for a task. */
const COMPARED_UPSTREAMS = 12
/** Number of further tasks for which an upstream should have capacity, since its reported capacity may be outdated. */
const HEADROOM_TASKS = 2
/**
 * Margins on the expected run time, as shares of it, with which a job is safely and probably in time. Its tasks differ
 * from each other; what its estimate is off by needs no margin, since the objective follows its true length.
 */
const SAFE_MARGIN_SHARE = 0.4
const PROBABLE_MARGIN_SHARE = 0.25
/** Cost of the upstream that the entry prefers least, as a share of its capacity. */
const PREFERENCE_COST = 1
/** Cost of a view as old as the entry lease, as a share of the upstream's capacity: its free capacity is uncertain. */
const STALENESS_COST = 0.3
/** Cost of an upstream that finishes immediately when all of the objective is left, as a share of its capacity. */
const SPEED_COST = 0.2

/**
 * Compares a few upstreams, drawn at random from those that have free capacity and meet the job's objective, the safe
 * ones first, and takes the one with the lowest cost: busy, unfamiliar and needlessly fast upstreams cost more. Where
 * none meets the objective the earliest finish decides.
 *
 * It answers the load of many entries whose views of the upstreams are outdated: choosing the best upstream by such
 * views sends the tasks of all entries to the same fast upstreams, which refuse them.
 */
export class ObjectivePlacement extends Placement {
  readonly #random: Random
  readonly #fallback = new EarliestFinishPlacement()

  constructor (random: Random) {
    super()
    this.#random = random
  }

  override choose (request: PlacementRequest): PlacementChoice | undefined {
    const tiers: PlacementChoice[][] = []
    for (const view of request.candidates) {
      const choice = estimateChoice(view, request)
      const tier = tierOf(choice, request)
      if (tier !== undefined) (tiers[tier] ??= []).push(choice)
    }
    const inTime = tiers.find(tier => tier !== undefined) ?? []
    let best: PlacementChoice | undefined
    let bestCost = Infinity
    for (const choice of this.#draw(inTime)) {
      const cost = costOf(choice, request)
      if (cost >= bestCost) continue
      best = choice
      bestCost = cost
    }
    return best ?? this.#fallback.choose(request)
  }

  /** Draws choices without repetition, and reorders the given ones. */
  #draw (choices: PlacementChoice[]): PlacementChoice[] {
    const count = Math.min(COMPARED_UPSTREAMS, choices.length)
    for (let position = 0; position < count; position += 1) {
      const drawn = position + this.#random.below(choices.length - position)
      const choice = choices[drawn] as PlacementChoice
      choices[drawn] = choices[position] as PlacementChoice
      choices[position] = choice
    }
    return choices.slice(0, count)
  }
}

/** Whether a run is in time, also if it takes longer than expected by this share. */
function meetsObjective (choice: PlacementChoice, request: PlacementRequest, marginShare: number): boolean {
  const answerMargin = request.runTimes?.answerMargin() ?? USUAL_ANSWER_MARGIN_MILLISECONDS
  return (1 + marginShare) * choice.finishMilliseconds + answerMargin <= request.remainingMilliseconds
}

/**
 * Returns the tier of a choice; a lower one goes first, and `undefined` is not in time. One call starts all tasks of a
 * job at an agent, so an agent that has one of them gets more while it has capacity. An agent that was not heard of
 * within the entry lease is asked only if the others have little room: it refuses the first order.
 */
function tierOf (choice: PlacementChoice, request: PlacementRequest): number | undefined {
  if (choice.waitMilliseconds > 0 || !meetsObjective(choice, request, PROBABLE_MARGIN_SHARE)) return undefined
  if (!meetsObjective(choice, request, SAFE_MARGIN_SHARE)) return 4
  if (freeAfter(choice, request) < HEADROOM_TASKS * request.task.step.size.processor) return 3
  if (isStale(choice.agent, request.now)) return 2
  return request.usedAgents.has(choice.agent.name) ? 0 : 1
}

/** Returns the processor that is left at an agent once it has the task, in thousandths of a core. */
function freeAfter ({ agent }: PlacementChoice, request: PlacementRequest): number {
  return agent.load.free.processor - agent.unconfirmedSize.processor - request.task.step.size.processor
}

function costOf ({ agent, finishMilliseconds }: PlacementChoice, request: PlacementRequest): number {
  const { rack } = request.task.step
  const isFarFromData = rack !== undefined && agent.profile?.labels.includes(rack) !== true
  return utilization(agent) +
    SPEED_COST * Math.max(0, 1 - finishMilliseconds / request.remainingMilliseconds) +
    STALENESS_COST * staleness(agent, request.now) +
    PREFERENCE_COST * agent.preference +
    (isFarFromData ? 1 : 0)
}
