/** A run registry with recorded orders, whose upstream the test plays. */
import { silentLogger } from '@baobabpost/common'
import type { RunOrder, Start, StartAnswer, WatchAnswer } from '@baobabpost/fleet-calls'
import {
  createRunRegistry, type Listing, type OrderOutcome, type RunRecord, type RunRegistry, type StartOrder, type StopOrder,
  type UpstreamHeartbeat
} from '@baobabpost/runs'

export const TASK = '5c0e7a21d94b36f8.0.0.0'
/** Time from the request of a listing that is lost to the next request. */
const LOST_LISTING_MILLISECONDS = 70
const SIZE = { processor: 1_000, memory: 64, accelerators: 0 }

/** A registry, and the orders that it has sent. */
export interface RegistryUnderTest {
  readonly registry: RunRegistry
  readonly starts: Array<{ readonly record: RunRecord, readonly order: StartOrder }>
  readonly stops: Array<{ readonly record: RunRecord, readonly order: StopOrder }>
  /** How often the watches of all entries were answered. */
  readonly wakes: { readonly count: number }
  /** Advances the time by `milliseconds` and returns it. */
  advance: (milliseconds: number) => number
  /** Requests a listing and answers it a millisecond later; without runs, and with the agent's time, by default. */
  list: (listing?: Partial<Listing>, clock?: number) => void
  /** Requests a listing, and returns a function that answers it a millisecond after its call. */
  requestListing: () => (listing?: Partial<Listing>, clock?: number) => void
  answerLastStart: (outcome: OrderOutcome) => void
  answerLastStop: (outcome: OrderOutcome) => void
  /** Returns the lease end that the next list order carries. */
  nextLease: () => number | undefined
  /** Requests a listing, which times out. */
  loseListing: () => void
  /** Requests a listing, which fails a millisecond later. */
  failListing: (outcome: OrderOutcome) => void
  /** Orders a task, by default `TASK`, from the only entry, which has heard of the agent's incarnation `agent-1`. */
  order: (run: number, task?: string, heardFrom?: string) => StartAnswer
  /** Orders `TASK` for the first time, with the given fields of the order and of its start call. */
  orderWith: (order: Partial<RunOrder>, start?: Partial<Start>) => StartAnswer
  stop: (run: number, heardFrom?: string) => void
  /** Returns what the entry is told, after it has acknowledged reports. */
  watch: (acknowledged?: number, heardFrom?: string) => WatchAnswer
}

/** Returns a heartbeat of the first instance, which is ready, with the given fields replaced. */
export function heartbeat (fields: Partial<UpstreamHeartbeat> = {}): UpstreamHeartbeat {
  return {
    instance: { id: 'i-1', startedAt: 1_000 },
    sequence: 1,
    service: 'desk',
    failureDomain: 'domain-1',
    capacity: { processor: 32_000, memory: 131_072, accelerators: 0 },
    labels: ['a'],
    isDraining: false,
    ...fields
  }
}

function last<Item> (items: readonly Item[]): Item {
  const item = items[items.length - 1]
  if (item === undefined) throw new Error('expected an order, got none')
  return item
}

/** Creates a registry that has heard nothing of its upstream yet. */
export function createRegistryUnderTest (): RegistryUnderTest {
  let now = 10_000
  const starts: RegistryUnderTest['starts'] = []
  const stops: RegistryUnderTest['stops'] = []
  const wakes = { count: 0 }
  const registry = createRunRegistry({
    incarnation: 'agent-1',
    fencingToken: 7,
    logger: silentLogger,
    sendStart: (record, order) => { starts.push({ record, order }) },
    sendStop: (record, order) => { stops.push({ record, order }) },
    stopUnknownRun: () => {},
    listImmediately: () => {},
    wake: session => { if (session === undefined) wakes.count += 1 }
  })
  /** The entry that calls; its lease begins with its second call. */
  const caller = (heardFrom = 'agent-1') => ({ entry: 'entry-1', incarnation: 'entry-1-1', heardAt: now, heardFrom })

  function watch (acknowledged = 0, heardFrom?: string): WatchAnswer {
    const request = { caller: caller(heardFrom), acknowledged, profileVersion: 0, waitMilliseconds: 0 }
    return registry.answerWatch(registry.beginWatch(request, now), request, now)
  }

  function orderWith (order: Partial<RunOrder>, start: Partial<Start> = {}): StartAnswer {
    return registry.answerStart({
      caller: caller(),
      specification: '{}',
      priority: 0,
      patienceMilliseconds: 50,
      orders: [{ task: TASK, run: 1, size: SIZE, estimateMilliseconds: 100, ...order }],
      ...start
    }, now)
  }

  function requestListing (): (listing?: Partial<Listing>, clock?: number) => void {
    const requestedAt = now
    const order = registry.nextListOrder(0, requestedAt)
    return (listing = {}, clock) => {
      now += 1
      registry.handleListAnswer({
        outcome: 'taken', clock: clock ?? now, listing: { startedAt: 1_000, running: [], ended: [], ...listing }
      }, order.fencingToken, requestedAt, now)
    }
  }

  watch()
  return {
    registry,
    starts,
    stops,
    wakes,
    advance: milliseconds => { now += milliseconds; return now },
    list: (listing, clock) => { requestListing()(listing, clock) },
    requestListing,
    nextLease: () => registry.nextListOrder(0, now).leaseUntil,
    failListing: outcome => {
      const requestedAt = now
      const order = registry.nextListOrder(0, requestedAt)
      now += 1
      registry.handleListAnswer({ outcome, clock: undefined }, order.fencingToken, requestedAt, now)
    },
    loseListing: () => {
      const requestedAt = now
      const order = registry.nextListOrder(0, requestedAt)
      now += LOST_LISTING_MILLISECONDS
      registry.handleListAnswer({ outcome: 'unanswered', clock: undefined }, order.fencingToken, requestedAt, now)
    },
    answerLastStart: outcome => {
      const { record, order } = last(starts)
      now += 1
      registry.handleStartAnswer(record, { outcome, clock: outcome === 'unanswered' ? undefined : now }, order.fencingToken, now)
    },
    answerLastStop: outcome => {
      const { record, order } = last(stops)
      now += 1
      registry.handleStopAnswer(record, { outcome, clock: now }, order.fencingToken, now)
    },
    order: (run, task = TASK, heardFrom) => orderWith({ task, run }, { caller: caller(heardFrom) }),
    orderWith,
    stop: (run, heardFrom) => { registry.answerStop({ caller: caller(heardFrom), runs: [{ task: TASK, run }] }, now) },
    watch
  }
}
