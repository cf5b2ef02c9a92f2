import { afterAll, beforeAll, describe, expect, it } from 'vitest'
import { silentLogger } from '@baobabpost/common'
import { createRunRegistry, type RunRecord, type RunRegistry } from '@baobabpost/runs'
import type { CallingEntry, RunOrder, Start } from '@baobabpost/fleet-calls'
import { createStepCounter, type StepCounter } from './step-count.js'

const INSTANCE = { id: 'i-1', startedAt: 1_000 }
const SMALL = 50
const LARGE = 400
/** Largest ratio of the steps a run of a large start call to those of a small one. */
const MAXIMUM_GROWTH = 1.5

let counter: StepCounter
beforeAll(() => { counter = createStepCounter() })
afterAll(() => { counter.close() })

function callerAt (heardAt: number): CallingEntry {
  return { entry: 'entry-1', incarnation: 'entry-1-1', heardAt, heardFrom: 'agent-1' }
}

interface ServingRegistry {
  readonly registry: RunRegistry
  /** Start and stop orders without an answer. */
  readonly starts: RunRecord[]
  readonly stops: RunRecord[]
}

/** Answers all start orders, also those that are sent meanwhile. */
function answerStarts ({ registry, starts }: ServingRegistry, now: number): void {
  for (let record = starts.shift(); record !== undefined; record = starts.shift()) {
    registry.handleStartAnswer(record, { outcome: 'taken', clock: now }, 7, now)
  }
}

function createServingRegistry (): ServingRegistry {
  const starts: RunRecord[] = []
  const stops: RunRecord[] = []
  const registry = createRunRegistry({
    incarnation: 'agent-1',
    fencingToken: 7,
    logger: silentLogger,
    sendStart: record => { starts.push(record) },
    sendStop: record => { stops.push(record) },
    stopUnknownRun: () => {},
    listImmediately: () => {},
    wake: () => {}
  })
  registry.handleHeartbeat({
    instance: INSTANCE,
    sequence: 1,
    service: 'desk',
    failureDomain: 'domain-1',
    capacity: { processor: 100_000, memory: 131_072, accelerators: 0 },
    labels: [],
    isDraining: false
  }, 10_000)
  list(registry, [], 10_001)
  registry.answerStop({ caller: callerAt(10_001), runs: [] }, 10_002)
  return { registry, starts, stops }
}

/** Answers a listing in which the given orders are done. */
function list (registry: RunRegistry, done: readonly RunOrder[], now: number): void {
  const order = registry.nextListOrder(0, now)
  const ended = done.map(({ task, run }, position) => ({ number: position + 1, task, run, kind: 'done' as const }))
  const listing = { running: [], ended, startedAt: INSTANCE.startedAt }
  registry.handleListAnswer({ outcome: 'taken', clock: now, listing }, order.fencingToken, now, now + 1)
}

function startOf (runs: number, processor: number): Start {
  const orders = Array.from({ length: runs }, (_, index) => ({
    task: `5c0e7a21d94b36f8.0.0.${index}`,
    run: 1,
    size: { processor, memory: 16, accelerators: 0 },
    estimateMilliseconds: 300
  }))
  return { caller: callerAt(10_002), specification: '{}', priority: 0, patienceMilliseconds: 0, orders }
}

function expectGrowth (play: (runs: number) => number): void {
  expect(play(LARGE) / LARGE).toBeLessThan(MAXIMUM_GROWTH * play(SMALL) / SMALL)
}

// Agents compared each waiting run with all others, and each order with all reports that were not acknowledged.
describe('the work of an agent for a start call', () => {
  it('grows with its runs and no faster', () => {
    expectGrowth(runs => {
      const serving = createServingRegistry()
      return counter.count(() => {
        serving.registry.answerStart(startOf(runs, 100), 10_003)
        answerStarts(serving, 10_004)
      })
    })
  })

  it('grows with its runs and no faster if they find no room', () => {
    expectGrowth(runs => {
      const { registry } = createServingRegistry()
      return counter.count(() => { registry.answerStart(startOf(runs, 100_001), 10_003) })
    })
  })

  it('grows with its runs and no faster if it is repeated after they have ended', () => {
    expectGrowth(runs => {
      const serving = createServingRegistry()
      const { registry } = serving
      const start = startOf(runs, 100)
      registry.answerStart(start, 10_003)
      answerStarts(serving, 10_004)
      list(registry, start.orders, 10_300)
      return counter.count(() => { registry.answerStart({ ...start, caller: callerAt(10_300) }, 10_304) })
    })
  })
})

describe('an answer of an agent', () => {
  // An entry handles an answer in one turn, and closes the connection if it is larger than 1 MiB.
  it('has a part of many reports, and the next ones follow once they are acknowledged', () => {
    const serving = createServingRegistry()
    const { registry } = serving
    const start = startOf(LARGE, 100)
    registry.answerStart(start, 10_003)
    answerStarts(serving, 10_004)
    list(registry, start.orders, 10_300)
    const reported: string[] = []
    let acknowledged = 0
    for (let now = 10_302; reported.length < LARGE && now < 10_310; now += 1) {
      const watch = { caller: callerAt(now), acknowledged, profileVersion: 0, waitMilliseconds: 100 }
      const session = registry.beginWatch(watch, now)
      expect(registry.hasUpdates(session, watch)).toBe(true)
      const { reports } = registry.answerWatch(session, watch, now)
      expect(reports.length).toBeLessThanOrEqual(250)
      for (const report of reports) reported.push(report.task)
      acknowledged = reports.at(-1)?.sequence ?? acknowledged
    }
    expect(reported).toEqual(start.orders.map(({ task }) => task))
  })
})

// Hundreds of orders were sent in one turn and timed out behind each other: their runs were stopped and given back,
// although the upstream was sound.
describe('orders to an upstream', () => {
  const MAXIMUM_UNDER_WAY = 32

  it('are under way in a bounded number, and each answer is followed by the next', () => {
    const serving = createServingRegistry()
    const { registry, starts } = serving
    registry.answerStart(startOf(LARGE, 100), 10_003)
    expect(starts.length).toBe(MAXIMUM_UNDER_WAY)
    const [first] = starts.splice(0, 1)
    if (first !== undefined) registry.handleStartAnswer(first, { outcome: 'taken', clock: 10_004 }, 7, 10_004)
    expect(starts.length).toBe(MAXIMUM_UNDER_WAY)
    answerStarts(serving, 10_005)
    expect(registry.runCount()).toBe(LARGE)
    expect(registry.answerStop({ caller: callerAt(10_006), runs: [] }, 10_007).confirmed?.length).toBe(LARGE)
  })

  it('reserve the capacity of runs that are still to be ordered', () => {
    const { registry } = createServingRegistry()
    const { room } = registry.answerStart(startOf(LARGE, 100), 10_003)
    expect(room.free.processor).toBe(100_000 - LARGE * 100)
    expect(room.waiting.every(processor => processor === 0)).toBe(true)
  })

  it('are not sent for runs that were stopped before', () => {
    const serving = createServingRegistry()
    const { registry, starts, stops } = serving
    const start = startOf(LARGE, 100)
    registry.answerStart(start, 10_003)
    registry.answerStop({ caller: callerAt(10_003), runs: start.orders }, 10_004)
    expect(registry.runCount()).toBe(MAXIMUM_UNDER_WAY)
    expect(stops.length).toBe(MAXIMUM_UNDER_WAY)
    answerStarts(serving, 10_005)
    expect(starts).toEqual([])
  })

  it('of stops are under way in a bounded number too', () => {
    const serving = createServingRegistry()
    const { registry, stops } = serving
    const start = startOf(LARGE, 100)
    registry.answerStart(start, 10_003)
    answerStarts(serving, 10_004)
    registry.answerStop({ caller: callerAt(10_004), runs: start.orders }, 10_005)
    expect(stops.length).toBe(MAXIMUM_UNDER_WAY)
    let stopped = 0
    for (let record = stops.shift(); record !== undefined; record = stops.shift()) {
      stopped += 1
      registry.handleStopAnswer(record, { outcome: 'taken', clock: 10_006 }, 7, 10_006)
    }
    expect(stopped).toBe(LARGE)
  })

  it('of stops that are lost give way to those that were not sent yet', () => {
    const serving = createServingRegistry()
    const { registry, stops } = serving
    const start = startOf(LARGE, 100)
    registry.answerStart(start, 10_003)
    answerStarts(serving, 10_004)
    registry.answerStop({ caller: callerAt(10_004), runs: start.orders }, 10_005)
    const sent = new Set<string>()
    for (let round = 1; round <= Math.ceil(LARGE / MAXIMUM_UNDER_WAY); round += 1) {
      for (const record of stops.splice(0)) {
        sent.add(record.order.task)
        registry.handleStopAnswer(record, { outcome: 'unanswered', clock: undefined }, 7, 10_005 + 50 * round)
      }
    }
    expect(sent.size).toBe(LARGE)
  })

  it('go out to the next instance though those to the former one have no answer', () => {
    const { registry, starts } = createServingRegistry()
    registry.answerStart(startOf(LARGE, 100), 10_003)
    const next = { startedAt: INSTANCE.startedAt + 1, running: [], ended: [] }
    for (const now of [10_010, 10_020]) {
      const order = registry.nextListOrder(0, now)
      registry.handleListAnswer({ outcome: 'taken', clock: now, listing: next }, order.fencingToken, now, now + 1)
    }
    registry.handleHeartbeat({
      instance: { id: 'i-1', startedAt: next.startedAt },
      sequence: 1,
      service: 'desk',
      failureDomain: 'domain-1',
      capacity: { processor: 100_000, memory: 131_072, accelerators: 0 },
      labels: [],
      isDraining: false
    }, 10_030)
    starts.length = 0
    const { orders } = startOf(1, 100)
    const order = { ...orders[0], task: '5c0e7a21d94b36f9.0.0.0' } as RunOrder
    registry.answerStart({ ...startOf(1, 100), caller: callerAt(10_030), orders: [order] }, 10_031)
    expect(starts.length).toBe(1)
  })
})
