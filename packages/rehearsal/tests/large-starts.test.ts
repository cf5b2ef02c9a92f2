import { afterAll, beforeAll, describe, expect, it } from 'vitest'
import { silentLogger } from '@baobabpost/common'
import { createRunRegistry, type RunRegistry } from '@baobabpost/runs'
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

function createServingRegistry (): RunRegistry {
  const registry = createRunRegistry({
    incarnation: 'agent-1',
    fencingToken: 7,
    logger: silentLogger,
    sendStart: () => {},
    sendStop: () => {},
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
  return registry
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
      const registry = createServingRegistry()
      return counter.count(() => { registry.answerStart(startOf(runs, 100), 10_003) })
    })
  })

  it('grows with its runs and no faster if they find no room', () => {
    expectGrowth(runs => {
      const registry = createServingRegistry()
      return counter.count(() => { registry.answerStart(startOf(runs, 100_001), 10_003) })
    })
  })

  it('grows with its runs and no faster if it is repeated after they have ended', () => {
    expectGrowth(runs => {
      const registry = createServingRegistry()
      const start = startOf(runs, 100)
      registry.answerStart(start, 10_003)
      list(registry, start.orders, 10_300)
      return counter.count(() => { registry.answerStart({ ...start, caller: callerAt(10_300) }, 10_304) })
    })
  })
})

describe('an answer of an agent', () => {
  // An entry handles an answer in one turn, and closes the connection if it is larger than 1 MiB.
  it('has a part of many reports, and the next ones follow once they are acknowledged', () => {
    const registry = createServingRegistry()
    const start = startOf(LARGE, 100)
    registry.answerStart(start, 10_003)
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
