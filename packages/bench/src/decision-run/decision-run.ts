/**
 * Runs the decision code of several entries against modelled agents with injected time, for comparing policies.
 *
 * It models what decides a policy's figures (slots, windows, speeds, one-way delays, faults) and nothing else; the
 * figures of real processes come from the bench.
 */
import { type AgentIdentity, createAgentIdentity, createRandom } from '@baobabpost/common'
import { createPlacement, type Placement, type PlacementEvent } from '@baobabpost/placement'
import { createEventQueue } from './event-queue.js'
import { type AgentModel, createModelAgent, type FaultPeriod, type ModelAgent } from './model-agent.js'
import { createModelEntry, type FinishedTask, type ModelEntry, type RunRecorder } from './model-entry.js'
import { createWorkload } from './workload.js'

const START = 1_700_000_000_000
const DOMAINS = ['domain-1', 'domain-2', 'domain-3']
const NEAR_MILLISECONDS = 0.2
const FAR_MILLISECONDS = 1.4
const TRUE_MEDIAN_MILLISECONDS: Readonly<Record<string, number>> = { checkout: 300, statement: 550 }

/** One run. */
export interface DecisionRunOptions {
  readonly seed: number
  readonly placement: Placement['name']
  /** Tasks beyond its slots that an agent accepts ahead. */
  readonly prefetchTasks: number
  /** Slots that jobs leave free at an agent for each urgent task that runs there on average. */
  readonly reservePerUrgentTask: number
  readonly entries: number
  readonly agents: number
  readonly slots: number
  /** Slowness of the slowest upstream; the others spread evenly from 1. */
  readonly slowest: number
  readonly load: number
  readonly urgentShare: number
  readonly milliseconds: number
  /** Tasks that arrive before this time are left out of the figures. */
  readonly warmUpMilliseconds: number
  readonly deadlineMilliseconds: number
  /** Declared run time over true run time. */
  readonly declaredFactor: number
  /** Faults by number of the agent. */
  readonly faults: ReadonlyMap<number, readonly FaultPeriod[]>
  readonly failingJobs: number
  readonly tasksPerJob: { readonly least: number, readonly most: number }
}

/** A change of standing with its time from the start, milliseconds. */
export interface TimedEvent extends PlacementEvent {
  readonly entry: number
  readonly at: number
}

/** What a run gave. */
export interface DecisionRunResult {
  readonly tasks: readonly FinishedTask[]
  readonly refused: number
  readonly expired: number
  readonly dispatched: number
  readonly events: readonly TimedEvent[]
  /** Work that the fleet can do, milliseconds of the fastest upstream per millisecond. */
  readonly capacity: number
  /** Unix time in milliseconds of the start. */
  readonly start: number
}

/** The run that scenarios vary. */
export const BASE_RUN: DecisionRunOptions = {
  seed: 1,
  placement: 'late-binding',
  prefetchTasks: 2,
  reservePerUrgentTask: 1,
  entries: 4,
  agents: 12,
  slots: 8,
  slowest: 4,
  load: 0.7,
  urgentShare: 0.4,
  milliseconds: 40_000,
  warmUpMilliseconds: 10_000,
  deadlineMilliseconds: 30_000,
  declaredFactor: 1,
  faults: new Map(),
  failingJobs: 0,
  tasksPerJob: { least: 5, most: 200 }
}

function createModels (options: DecisionRunOptions): AgentModel[] {
  const last = Math.max(1, options.agents - 1)
  return Array.from({ length: options.agents }, (_, number) => ({
    identity: createAgentIdentity(`agent-${number}`),
    failureDomain: DOMAINS[number % DOMAINS.length]!,
    slots: options.slots,
    slowness: 1 + (options.slowest - 1) * number / last,
    faults: options.faults.get(number) ?? []
  }))
}

/**
 * Runs one policy against one seeded load.
 *
 * @example
 * const result = runDecisions({ ...BASE_RUN, placement: 'two-choices', prefetchTasks: 64 })
 */
export function runDecisions (options: DecisionRunOptions): DecisionRunResult {
  const events = createEventQueue(START)
  const random = createRandom(options.seed)
  const models = createModels(options)
  const entries: ModelEntry[] = []
  const agents = new Map<AgentIdentity, ModelAgent>()
  for (const model of models) {
    const agent: ModelAgent = createModelAgent({
      model,
      events,
      start: START,
      entries: options.entries,
      prefetchTasks: options.prefetchTasks,
      reservePerUrgentTask: options.reservePerUrgentTask,
      windowGrew: entry => { entries[entry]?.windowChanged(agent) }
    })
    agents.set(model.identity, agent)
  }

  const tasks: FinishedTask[] = []
  const timedEvents: TimedEvent[] = []
  const totals = { refused: 0, expired: 0, dispatched: 0 }
  const recorderOf = (entry: number): RunRecorder => ({
    finished: task => { tasks.push(task) },
    refused: count => { totals.refused += count },
    expired: count => { totals.expired += count },
    dispatched: () => { totals.dispatched += 1 },
    event: (event, now) => { timedEvents.push({ ...event, entry, at: now - START }) }
  })
  for (let number = 0; number < options.entries; number += 1) {
    const failureDomain = DOMAINS[number % DOMAINS.length]!
    const { prefetchTasks } = options
    entries.push(createModelEntry({
      number,
      events,
      agents,
      placement: createPlacement(options.placement, { random, failureDomain, prefetchTasks }),
      oneWayMilliseconds: agent => agent.model.failureDomain === failureDomain ? NEAR_MILLISECONDS : FAR_MILLISECONDS,
      declaredMilliseconds: template => (TRUE_MEDIAN_MILLISECONDS[template] ?? 300) * options.declaredFactor,
      deadlineMilliseconds: options.deadlineMilliseconds,
      recorder: recorderOf(number)
    }))
  }

  let capacity = 0
  for (const model of models) capacity += model.slots / model.slowness
  const workload = createWorkload({ ...options, random: createRandom(options.seed + 1), customers: 20, capacity })
  const arrive = (kind: 'call' | 'job'): void => {
    events.after(workload.gap(kind), () => {
      const arrival = workload.next(kind)
      entries[arrival.entry]!.submit(arrival)
      arrive(kind)
    })
  }
  if (options.urgentShare > 0) arrive('call')
  if (options.urgentShare < 1) arrive('job')
  events.runUntil(START + options.milliseconds)
  return { tasks, ...totals, events: timedEvents, capacity, start: START }
}
