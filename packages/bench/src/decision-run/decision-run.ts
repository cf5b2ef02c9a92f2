/**
 * Simulates the production queues and placement of several entries against model agents with a simulated clock, to
 * compare policies.
 *
 * Models only slots, dispatch windows, speeds, one-way delays and faults. `npm run bench` measures real processes.
 */
import { type AgentIdentity, createAgentIdentity, createRandom } from '@baobabpost/common'
import { createPlacement, type Placement, type PlacementEvent } from '@baobabpost/placement'
import { createEventQueue } from './event-queue.js'
import { type AgentModel, createModelAgent, type FaultPeriod, type ModelAgent } from './model-agent.js'
import { createModelEntry, type FinishedTask, type ModelEntry, type RunRecorder } from './model-entry.js'
import { createWorkload } from './workload.js'

const START_TIME = 1_700_000_000_000
const FAILURE_DOMAINS = ['domain-1', 'domain-2', 'domain-3']
const SAME_DOMAIN_DELAY_MILLISECONDS = 0.2
const CROSS_DOMAIN_DELAY_MILLISECONDS = 1.4
const MEDIAN_RUN_MILLISECONDS: Readonly<Record<string, number>> = { checkout: 300, statement: 550 }

export interface DecisionRunOptions {
  readonly seed: number
  readonly placement: Placement['name']
  /** Tasks that an agent accepts in addition to its slots. */
  readonly prefetchTasks: number
  /** Slots of an agent that tasks of jobs leave free, per urgent task running there on average. */
  readonly reservePerUrgentTask: number
  readonly entries: number
  readonly agents: number
  readonly slots: number
  /** Slowness of the slowest upstream; the slowness of the upstreams is spaced evenly from 1 to this value. */
  readonly maximumSlowness: number
  readonly load: number
  readonly urgentShare: number
  readonly milliseconds: number
  /** Tasks that arrive before this time, counted from the start, are excluded from the figures. */
  readonly warmUpMilliseconds: number
  readonly deadlineMilliseconds: number
  /** Declared run time divided by actual run time. */
  readonly declaredFactor: number
  /** Fault periods by agent number. */
  readonly faults: ReadonlyMap<number, readonly FaultPeriod[]>
  readonly failingJobShare: number
  readonly tasksPerJob: { readonly least: number, readonly most: number }
}

/** A change of an agent's placement status at an entry. */
export interface TimedEvent extends PlacementEvent {
  readonly entry: number
  /** Milliseconds from the start of the run. */
  readonly at: number
}

export interface DecisionRunResult {
  readonly tasks: readonly FinishedTask[]
  readonly refused: number
  readonly expired: number
  readonly dispatched: number
  readonly events: readonly TimedEvent[]
  /** Work that the fleet can do per millisecond, as milliseconds of run time at the fastest upstream. */
  readonly capacity: number
  /** Unix time of the start, in milliseconds. */
  readonly start: number
}

/** Default options, which the scenarios override. */
export const BASE_RUN: DecisionRunOptions = {
  seed: 1,
  placement: 'late-binding',
  prefetchTasks: 2,
  reservePerUrgentTask: 1,
  entries: 4,
  agents: 12,
  slots: 8,
  maximumSlowness: 4,
  load: 0.7,
  urgentShare: 0.4,
  milliseconds: 40_000,
  warmUpMilliseconds: 10_000,
  deadlineMilliseconds: 30_000,
  declaredFactor: 1,
  faults: new Map(),
  failingJobShare: 0,
  tasksPerJob: { least: 5, most: 200 }
}

function createModels (options: DecisionRunOptions): AgentModel[] {
  const lastNumber = Math.max(1, options.agents - 1)
  return Array.from({ length: options.agents }, (_, number) => ({
    identity: createAgentIdentity(`agent-${number}`),
    failureDomain: FAILURE_DOMAINS[number % FAILURE_DOMAINS.length]!,
    slots: options.slots,
    slowness: 1 + (options.maximumSlowness - 1) * number / lastNumber,
    faults: options.faults.get(number) ?? []
  }))
}

/**
 * Simulates one policy under one seeded load.
 *
 * @example
 * const result = runDecisions({ ...BASE_RUN, placement: 'two-choices', prefetchTasks: 64 })
 */
export function runDecisions (options: DecisionRunOptions): DecisionRunResult {
  const events = createEventQueue(START_TIME)
  const random = createRandom(options.seed)
  const models = createModels(options)
  const entries: ModelEntry[] = []
  const agents = new Map<AgentIdentity, ModelAgent>()
  for (const model of models) {
    const agent: ModelAgent = createModelAgent({
      model,
      events,
      startTime: START_TIME,
      entries: options.entries,
      prefetchTasks: options.prefetchTasks,
      reservePerUrgentTask: options.reservePerUrgentTask,
      onWindowGrowth: entry => { entries[entry]?.handleWindowChange(agent) }
    })
    agents.set(model.identity, agent)
  }

  const tasks: FinishedTask[] = []
  const timedEvents: TimedEvent[] = []
  const totals = { refused: 0, expired: 0, dispatched: 0 }
  const createRecorder = (entry: number): RunRecorder => ({
    recordFinished: task => { tasks.push(task) },
    recordRefused: count => { totals.refused += count },
    recordExpired: count => { totals.expired += count },
    recordDispatched: () => { totals.dispatched += 1 },
    recordEvent: (event, now) => { timedEvents.push({ ...event, entry, at: now - START_TIME }) }
  })
  for (let number = 0; number < options.entries; number += 1) {
    const failureDomain = FAILURE_DOMAINS[number % FAILURE_DOMAINS.length]!
    const { prefetchTasks } = options
    entries.push(createModelEntry({
      number,
      events,
      agents,
      placement: createPlacement(options.placement, { random, failureDomain, prefetchTasks }),
      oneWayDelayMilliseconds: agent =>
        agent.model.failureDomain === failureDomain ? SAME_DOMAIN_DELAY_MILLISECONDS : CROSS_DOMAIN_DELAY_MILLISECONDS,
      declaredMilliseconds: template => (MEDIAN_RUN_MILLISECONDS[template] ?? 300) * options.declaredFactor,
      deadlineMilliseconds: options.deadlineMilliseconds,
      recorder: createRecorder(number)
    }))
  }

  let capacity = 0
  for (const model of models) capacity += model.slots / model.slowness
  const workload = createWorkload({ ...options, random: createRandom(options.seed + 1), customers: 20, capacity })
  const scheduleArrivals = (kind: 'call' | 'job'): void => {
    events.schedule(workload.nextGapMilliseconds(kind), () => {
      const arrival = workload.nextArrival(kind)
      entries[arrival.entry]!.submit(arrival)
      scheduleArrivals(kind)
    })
  }
  if (options.urgentShare > 0) scheduleArrivals('call')
  if (options.urgentShare < 1) scheduleArrivals('job')
  events.runUntil(START_TIME + options.milliseconds)
  return { tasks, ...totals, events: timedEvents, capacity, start: START_TIME }
}
