/** Stand-in for an upstream that runs tasks under leases. It starts every valid order, even beyond its capacity. */
import { addSizes, EMPTY_SIZE, subtractSizes, type Size } from '@baobabpost/fleet-calls'
import type {
  CompletionKind, ListAnswer, ListedCompletion, ListOrder, OrderOutcome, StartOrder, StopOrder, UpstreamHeartbeat,
  UpstreamInstance
} from '@baobabpost/runs'
import { createChangingCapacity } from './changing-capacity.js'
import { createOrderDelivery } from './order-delivery.js'
import {
  createFaults, type LeasedUpstream, type LeasedUpstreamOptions, type StandInTask, type UpstreamFaults
} from './leased-upstream-options.js'
import { createUpstreamKinds } from './upstream-kind.js'

/** Maximum length of a lease that the upstream grants. */
const MAXIMUM_LEASE_MILLISECONDS = 1_000
/** Time from a stop order to the end of the run. */
const STOP_DURATION_MILLISECONDS = 40
/** Multiple of their time that runs take at a cold upstream. */
const COLD_FACTOR = 3

interface SimulatedRun {
  readonly task: string
  readonly run: number
  readonly size: Size
  /** Run time at speed 1. */
  readonly milliseconds: number
  readonly kind: CompletionKind
  /** Part of that run time that was done when the speed last changed, or at the start. */
  doneMilliseconds: number
  countedAt: number
  timer: ReturnType<typeof setTimeout> | undefined
}

/** Identifies a run at the upstream. */
function keyOf ({ task, run }: { readonly task: string, readonly run: number }): string {
  return `${task} ${run}`
}

/** Returns the number of a task in its step. */
function indexOf (task: string): number {
  return Number(task.split('.')[3])
}

function reportCold (
  { coldUntil, reportsCold }: UpstreamFaults, now: number
): Pick<UpstreamHeartbeat, 'coldRemainingMilliseconds'> {
  const remaining = coldUntil - now
  return reportsCold && remaining > 0 ? { coldRemainingMilliseconds: remaining } : {}
}

/** Returns a function that returns an order which is sent now as it is when it arrives. */
function createArrival <Order extends StartOrder | ListOrder> (
  order: Order, faults: UpstreamFaults, now: () => number
): () => Order {
  const sentAt = now()
  const { leaseUntil } = order
  if (leaseUntil === undefined) return () => order
  return () => faults.countsLeasesFromArrival ? { ...order, leaseUntil: now() + leaseUntil - sentAt } : order
}

function waitForCompletion (listeners: Set<() => void>, milliseconds: number): Promise<void> {
  if (milliseconds <= 0) return Promise.resolve()
  return new Promise(resolve => {
    const finish = (): void => {
      listeners.delete(finish)
      clearTimeout(timer)
      resolve()
    }
    const timer = setTimeout(finish, milliseconds)
    listeners.add(finish)
  })
}

/**
 * Creates a stand-in. It uses the global timers, so that a test can control the time with fake timers.
 *
 * @example
 * const standIn = createLeasedUpstream({ name: 'u-1', service: 'desk', capacity, speed: 1, now, observer })
 */
export function createLeasedUpstream (options: LeasedUpstreamOptions): LeasedUpstream {
  const { observer } = options
  const faults = createFaults()
  /** Time on the clock of `options` at which the clock of the instance read 0. */
  let clockStart = 0
  const now = (): number => options.now() - clockStart
  let startedAt = 1_000
  let sequence = 0
  let draining = false
  let leavingAcknowledgedAt: number | undefined
  let fencingToken = 0
  let leaseUntil = 0
  let leaseTimer: ReturnType<typeof setTimeout> | undefined
  let completions: ListedCompletion[] = []
  let lastCompletionNumber = 0
  /** Running runs by task and run number: a late order may start a task under a second number. */
  let running = new Map<string, SimulatedRun>()
  let highestRunByTask = new Map<string, number>()
  let reserved: Size = EMPTY_SIZE
  let startCount = 0
  let { speed } = options
  let downUntil = 0
  const kinds = createUpstreamKinds(options)
  const capacity = createChangingCapacity(options.capacity)
  const completionListeners = new Set<() => void>()
  const deliver = createOrderDelivery({
    faults, isDown, startedAt: () => startedAt, keepsDelayedOrders: options.keepsDelayedOrders === true
  })

  function runningTasks (): string[] {
    return [...new Set([...running.values()].map(({ task }) => task))]
  }

  function endRun (run: SimulatedRun, kind: CompletionKind): void {
    if (running.get(keyOf(run)) !== run) return
    clearTimeout(run.timer)
    running.delete(keyOf(run))
    reserved = subtractSizes(reserved, run.size)
    lastCompletionNumber += 1
    completions.push({ number: lastCompletionNumber, task: run.task, run: run.run, kind })
    observer.ended(options.name, run.task, kind)
    for (const notify of completionListeners) notify()
  }

  function lapseRuns (): void {
    for (const run of [...running.values()]) endRun(run, 'lapsed')
  }

  function renewLease (until: number | undefined): void {
    if (until === undefined) return
    leaseUntil = Math.max(leaseUntil, Math.min(until, now() + MAXIMUM_LEASE_MILLISECONDS))
    clearTimeout(leaseTimer)
    leaseTimer = setTimeout(lapseRuns, leaseUntil - now())
  }

  function handleStart (order: StartOrder): OrderOutcome {
    if (order.fencingToken < fencingToken) return 'fenced'
    fencingToken = order.fencingToken
    if (running.has(keyOf(order))) return 'taken'
    if (order.run <= (highestRunByTask.get(order.task) ?? 0)) {
      renewLease(order.leaseUntil)
      return 'old-run'
    }
    if (order.leaseUntil === undefined || order.leaseUntil <= now()) return 'late'
    renewLease(order.leaseUntil)
    highestRunByTask.set(order.task, order.run)
    const standInTask = JSON.parse(order.specification) as StandInTask
    kinds.check(order.task, standInTask)
    const run: SimulatedRun = {
      task: order.task,
      run: order.run,
      size: standInTask.size,
      milliseconds: standInTask.milliseconds * (standInTask.factors?.[indexOf(order.task)] ?? 1) *
        (options.now() < faults.coldUntil ? COLD_FACTOR : 1),
      kind: faults.failsAll || standInTask.fails === true ? 'failed' : 'done',
      doneMilliseconds: 0,
      countedAt: now() + (options.fixedMilliseconds ?? 0),
      timer: undefined
    }
    running.set(keyOf(run), run)
    startCount += 1
    reserved = addSizes(reserved, standInTask.size)
    observer.started(options.name, order.task, reserved.processor > capacity.allowed().processor)
    if (!faults.hangs) scheduleEnd(run)
    scheduleCrash(run, standInTask)
    return 'taken'
  }

  function scheduleCrash (run: SimulatedRun, { crash: crashOfStep }: StandInTask): void {
    if (crashOfStep?.tasks.includes(indexOf(run.task)) !== true) return
    setTimeout(() => {
      if (running.get(keyOf(run)) !== run) return
      crash(crashOfStep.downMilliseconds, run.task)
    }, crashOfStep.afterMilliseconds)
  }

  function doneMillisecondsOf (run: SimulatedRun): number {
    return run.doneMilliseconds + Math.max(0, now() - run.countedAt) * speed
  }

  function scheduleEnd (run: SimulatedRun): void {
    clearTimeout(run.timer)
    const milliseconds = Math.max(0, run.countedAt - now()) + (run.milliseconds - doneMillisecondsOf(run)) / speed
    run.timer = setTimeout(() => { endRun(run, run.kind) }, faults.failsAll ? 5 : milliseconds)
  }

  function setSpeed (newSpeed: number): void {
    const runs = [...running.values()]
    for (const run of runs) {
      run.doneMilliseconds = doneMillisecondsOf(run)
      run.countedAt = Math.max(run.countedAt, now())
    }
    speed = newSpeed
    for (const run of runs) if (run.timer !== undefined) scheduleEnd(run)
  }

  function handleStop (order: StopOrder): OrderOutcome {
    if (order.fencingToken < fencingToken) return 'fenced'
    fencingToken = order.fencingToken
    highestRunByTask.set(order.task, Math.max(order.run, highestRunByTask.get(order.task) ?? 0))
    const run = running.get(keyOf(order))
    if (run !== undefined) setTimeout(() => { endRun(run, 'stopped') }, STOP_DURATION_MILLISECONDS)
    return 'taken'
  }

  async function handleList (order: ListOrder): Promise<ListAnswer> {
    if (order.fencingToken < fencingToken) return { outcome: 'fenced', clock: now() }
    fencingToken = order.fencingToken
    renewLease(order.leaseUntil)
    completions = completions.filter(({ number }) => number > order.acknowledgedCompletion)
    if (completions.length === 0) await waitForCompletion(completionListeners, order.waitMilliseconds)
    const listing = {
      startedAt,
      running: [...running.values()].map(run => ({
        task: run.task, run: run.run, percent: Math.min(99, 100 * doneMillisecondsOf(run) / run.milliseconds)
      })),
      ended: [...completions]
    }
    return { outcome: 'taken', clock: now(), listing }
  }

  function isDown (): boolean {
    return now() < downUntil
  }

  function crash (downMilliseconds = 0, cause?: string): void {
    // Once its agent knows that it leaves, its end is planned and no crash, unless a task causes it.
    const isCrash = cause !== undefined || leavingAcknowledgedAt === undefined
    if (isCrash) observer.crashed?.(cause === undefined ? runningTasks() : [cause], runningTasks())
    lapseRuns()
    if (options.keepsDelayedOrders === true) clockStart = options.now()
    downUntil = now() + downMilliseconds
    startedAt += 1_000
    kinds.advance()
    leaseUntil = 0
    clearTimeout(leaseTimer)
    draining = false
    leavingAcknowledgedAt = undefined
    fencingToken = 0
    completions = []
    lastCompletionNumber = 0
    sequence = 0
    running = new Map()
    highestRunByTask = new Map()
    reserved = EMPTY_SIZE
  }

  function instance (): UpstreamInstance {
    return { id: options.changesId === true ? `${options.name}-${startedAt}` : options.name, startedAt }
  }

  /** Reports an order by the time at which it was sent: the stand-in itself may carry it out later. */
  function checkLeaving (task: string): void {
    if (leavingAcknowledgedAt === undefined) return
    observer.orderedAfterLeaving(options.name, task, now() - leavingAcknowledgedAt)
  }

  return {
    faults,
    upstream: {
      start: (order, timeout) => {
        checkLeaving(order.task)
        observer.ordered?.()
        const arrive = createArrival(order, faults, now)
        return deliver(() => ({ outcome: handleStart(arrive()), clock: now() }), timeout, 'start')
      },
      stop: (order, timeout) => deliver(() => ({ outcome: handleStop(order), clock: now() }), timeout, 'stop'),
      list: (order, timeout) => {
        const arrive = createArrival(order, faults, now)
        return deliver(() => handleList(arrive()), timeout, 'list')
      }
    },
    report: () => {
      sequence += 1
      return {
        instance: instance(),
        sequence,
        ...kinds.current(),
        failureDomain: options.failureDomain ?? 'domain-1',
        capacity: capacity.current(),
        isDraining: draining,
        ...reportCold(faults, options.now())
      }
    },
    instance,
    setDraining: () => { draining = true },
    setSpeed,
    acknowledge: heartbeat => {
      if (heartbeat.isDraining && heartbeat.instance.startedAt === startedAt) leavingAcknowledgedAt ??= now()
    },
    crash: downMilliseconds => { crash(downMilliseconds) },
    isDown,
    setNextKind: kinds.setNext,
    setCapacity: capacity.change,
    runningCount: () => running.size,
    startCount: () => startCount
  }
}
