/** Stand-in for an upstream that runs tasks under leases and starts whatever it is told to. */
import { addSizes, EMPTY_SIZE, subtractSizes, type Size } from '@baobabpost/fleet-calls'
import type {
  CompletionKind, ListAnswer, ListedCompletion, ListOrder, OrderAnswer, OrderOutcome, StartOrder, StopOrder, Upstream, UpstreamInstance,
  UpstreamHeartbeat
} from '@baobabpost/runs'

/** Longest lease that the upstream gives. */
const MAXIMUM_LEASE_MILLISECONDS = 1_000
/** Time that a stop takes. */
const STOP_MILLISECONDS = 40
/** Time of an order on its way, there or back. */
const ORDER_MILLISECONDS = 0.3

/** What a specification tells the stand-in: how long the task takes, its size, and whether it fails. */
export interface StandInTask {
  readonly milliseconds: number
  readonly size: Size
  readonly fails?: boolean
}

/** Faults that can be set while the stand-in works. */
export interface UpstreamFaults {
  /** Decides for each order whether it gets no answer and is carried out `lateMilliseconds` later. */
  isOrderDelayed: () => boolean
  lateMilliseconds: number
  /** Runs go on, and none ends. */
  hangs: boolean
  /** All runs fail at once. */
  failsAll: boolean
  /** Nothing is answered. */
  isUnresponsive: boolean
}

/** Told what happens at the stand-in. */
export interface UpstreamObserver {
  started: (upstream: string, task: string, overCapacity: boolean) => void
  ended: (upstream: string, task: string, kind: CompletionKind) => void
}

/** A stand-in. */
export interface LeasedUpstream {
  readonly upstream: Upstream
  readonly faults: UpstreamFaults
  report: () => UpstreamHeartbeat
  /** The present life. */
  instance: () => UpstreamInstance
  setDraining: () => void
  /** Loses all it knows, and starts again under the same identity. */
  crash: () => void
  runningCount: () => number
}

/** What a stand-in is made from. */
export interface LeasedUpstreamOptions {
  readonly name: string
  readonly service: string
  readonly capacity: Size
  /** Run time is divided by it. */
  readonly speed: number
  /** Clock of the stand-in in milliseconds. */
  readonly now: () => number
  readonly observer: UpstreamObserver
}

interface Running {
  readonly task: string
  readonly run: number
  readonly size: Size
  readonly milliseconds: number
  readonly startedAt: number
  timer: ReturnType<typeof setTimeout> | undefined
}

function pause (milliseconds: number): Promise<void> {
  return new Promise(resolve => { setTimeout(resolve, milliseconds) })
}

/**
 * Makes a stand-in. Its timers are the global ones, so that a test can inject the time.
 *
 * @example
 * const standIn = createLeasedUpstream({ name: 'u-1', service: 'desk', capacity, speed: 1, now, observer })
 */
export function createLeasedUpstream (options: LeasedUpstreamOptions): LeasedUpstream {
  const { now, observer } = options
  const faults: UpstreamFaults = {
    isOrderDelayed: () => false, lateMilliseconds: 3_000, hangs: false, failsAll: false, isUnresponsive: false
  }
  let startedAt = 1_000
  let sequence = 0
  let draining = false
  let fence = 0
  let leaseUntil = 0
  let leaseTimer: ReturnType<typeof setTimeout> | undefined
  let ends: ListedCompletion[] = []
  let lastEnd = 0
  let running = new Map<string, Running>()
  let highestRun = new Map<string, number>()
  let booked: Size = EMPTY_SIZE
  const waiters = new Set<() => void>()

  function end (run: Running, kind: CompletionKind): void {
    if (running.get(run.task) !== run) return
    clearTimeout(run.timer)
    running.delete(run.task)
    booked = subtractSizes(booked, run.size)
    lastEnd += 1
    ends.push({ number: lastEnd, task: run.task, run: run.run, kind })
    observer.ended(options.name, run.task, kind)
    for (const wake of waiters) wake()
  }

  function renew (until: number | undefined): void {
    if (until === undefined) return
    leaseUntil = Math.max(leaseUntil, Math.min(until, now() + MAXIMUM_LEASE_MILLISECONDS))
    clearTimeout(leaseTimer)
    leaseTimer = setTimeout(() => { for (const run of [...running.values()]) end(run, 'lapsed') }, leaseUntil - now())
  }

  function carryOutStart (order: StartOrder): OrderOutcome {
    if (order.fencingToken < fence) return 'fenced'
    fence = order.fencingToken
    const known = running.get(order.task)
    if (known?.run === order.run) return 'taken'
    if (order.run <= (highestRun.get(order.task) ?? 0)) {
      renew(order.leaseUntil)
      return 'old-run'
    }
    if (order.leaseUntil === undefined || order.leaseUntil <= now()) return 'late'
    renew(order.leaseUntil)
    highestRun.set(order.task, order.run)
    const work = JSON.parse(order.specification) as StandInTask
    const run: Running = {
      task: order.task,
      run: order.run,
      size: work.size,
      milliseconds: work.milliseconds / options.speed,
      startedAt: now(),
      timer: undefined
    }
    running.set(order.task, run)
    booked = addSizes(booked, work.size)
    observer.started(options.name, order.task, booked.processor > options.capacity.processor)
    const kind = faults.failsAll || work.fails === true ? 'failed' : 'done'
    if (!faults.hangs) run.timer = setTimeout(() => { end(run, kind) }, faults.failsAll ? 5 : run.milliseconds)
    return 'taken'
  }

  function carryOutStop (order: StopOrder): OrderOutcome {
    if (order.fencingToken < fence) return 'fenced'
    fence = order.fencingToken
    highestRun.set(order.task, Math.max(order.run, highestRun.get(order.task) ?? 0))
    const run = running.get(order.task)
    if (run?.run === order.run) setTimeout(() => { end(run, 'stopped') }, STOP_MILLISECONDS)
    return 'taken'
  }

  async function carryOutList (order: ListOrder): Promise<ListAnswer> {
    if (order.fencingToken < fence) return { outcome: 'fenced', clock: now() }
    fence = order.fencingToken
    renew(order.leaseUntil)
    ends = ends.filter(({ number }) => number > order.acknowledgedCompletion)
    if (ends.length === 0 && order.waitMilliseconds > 0) await untilEnd(order.waitMilliseconds)
    const listing = {
      startedAt: startedAt,
      running: [...running.values()].map(run => ({
        task: run.task, run: run.run, percent: Math.min(99, 100 * (now() - run.startedAt) / run.milliseconds)
      })),
      ended: [...ends]
    }
    return { outcome: 'taken', clock: now(), listing }
  }

  function untilEnd (milliseconds: number): Promise<void> {
    return new Promise(resolve => {
      const finish = (): void => {
        waiters.delete(finish)
        clearTimeout(timer)
        resolve()
      }
      const timer = setTimeout(finish, milliseconds)
      waiters.add(finish)
    })
  }

  /** An order on its way: some are carried out late and never answered, none is answered while silent. */
  async function deliver<Answer extends OrderAnswer> (
    carryOut: () => Answer | Promise<Answer>, timeoutMilliseconds: number, mayBeLate: boolean
  ): Promise<Answer | OrderAnswer> {
    const life = startedAt
    await pause(ORDER_MILLISECONDS)
    const late = mayBeLate && faults.isOrderDelayed()
    // A crash takes with it what was on its way to the life before, and the answers of that life.
    if (!late && !faults.isUnresponsive && startedAt === life) {
      const answer = await carryOut()
      await pause(ORDER_MILLISECONDS)
      if (!faults.isUnresponsive && startedAt === life) return answer
    }
    const carryOutLate = async (): Promise<void> => {
      await pause(faults.lateMilliseconds)
      if (startedAt === life) await carryOut()
    }
    if (late) carryOutLate().catch((failure: unknown) => { throw failure })
    await pause(timeoutMilliseconds)
    return { outcome: 'unanswered', clock: undefined }
  }

  return {
    faults,
    upstream: {
      start: (order, timeout) => deliver(() => ({ outcome: carryOutStart(order), clock: now() }), timeout, true),
      stop: (order, timeout) => deliver(() => ({ outcome: carryOutStop(order), clock: now() }), timeout, true),
      list: (order, timeout) => deliver(() => carryOutList(order), timeout, false)
    },
    report: () => {
      sequence += 1
      return {
        instance: { id: options.name, startedAt: startedAt },
        sequence,
        service: options.service,
        failureDomain: 'domain-1',
        capacity: options.capacity,
        labels: [],
        isDraining: draining
      }
    },
    instance: () => ({ id: options.name, startedAt: startedAt }),
    setDraining: () => { draining = true },
    crash: () => {
      for (const run of [...running.values()]) end(run, 'lapsed')
      startedAt += 1_000
      fence = 0
      ends = []
      lastEnd = 0
      sequence = 0
      running = new Map()
      highestRun = new Map()
      booked = EMPTY_SIZE
    },
    runningCount: () => running.size
  }
}
