/** An agent with its upstream as a run with injected time needs it: slots, a queue, windows, a speed and faults. */
import type { AgentIdentity } from '@baobabpost/common'
import { createUrgentReserve, shareWindows } from '@baobabpost/execution'
import type { EventQueue } from './event-queue.js'

const FAILURE_MILLISECONDS = 5

/** Fault of an upstream. */
export type UpstreamFault = 'none' | 'fails' | 'slow' | 'hangs'

/** A stretch of time, in milliseconds from the start, in which an upstream has a fault. */
export interface FaultPeriod {
  readonly from: number
  readonly to: number
  readonly fault: UpstreamFault
}

/** What an agent is. */
export interface AgentModel {
  readonly identity: AgentIdentity
  readonly failureDomain: string
  readonly slots: number
  /** Run time over run time at the fastest upstream. */
  readonly slowness: number
  readonly faults: readonly FaultPeriod[]
}

/** A task as it comes to the agent. */
export interface AgentTask {
  readonly entry: number
  readonly urgent: boolean
  /** Run time at the fastest upstream, milliseconds. */
  readonly workMilliseconds: number
  readonly startBefore: number
  /** Whether the task fails wherever it runs. */
  readonly fails: boolean
  /** Tells the outcome at the agent. */
  readonly ended: (result: 'succeeded' | 'failed' | 'refused', runMilliseconds: number) => void
}

/** An agent of a run. */
export interface ModelAgent {
  readonly model: AgentModel
  receive: (task: AgentTask) => void
  /** Notes how many tasks wait at an entry. */
  setBacklog: (entry: number, backlog: number) => void
  window: (entry: number) => number
  /** Time in which slots were busy, milliseconds. */
  busyMilliseconds: () => number
}

/** What an agent of a run needs. */
export interface ModelAgentOptions {
  readonly model: AgentModel
  readonly events: EventQueue
  readonly start: number
  readonly entries: number
  readonly prefetchTasks: number
  /** Slots that jobs leave free for each urgent task that runs on average. */
  readonly reservePerUrgentTask: number
  /** Called when a window of an entry grew. */
  readonly windowGrew: (entry: number) => void
}

/** Makes an agent of a run. */
export function createModelAgent (options: ModelAgentOptions): ModelAgent {
  const { model, events, start } = options
  const waiting: Record<'urgent' | 'other', AgentTask[]> = { urgent: [], other: [] }
  const unfinished = new Array<number>(options.entries).fill(0)
  const backlogs = new Array<number>(options.entries).fill(0)
  const capacity = model.slots + options.prefetchTasks
  const reserve = createUrgentReserve({ slots: model.slots, slotsPerUrgentTask: () => options.reservePerUrgentTask })
  let windows = shareWindows(capacity, backlogs)
  let running = 0
  let busy = 0

  function faultNow (): UpstreamFault {
    const elapsed = events.now() - start
    for (const { from, to, fault } of model.faults) if (elapsed >= from && elapsed < to) return fault
    return 'none'
  }

  function updateWindows (): void {
    const before = windows
    windows = shareWindows(capacity, unfinished.map((count, entry) => count + backlogs[entry]!))
    for (const [entry, window] of windows.entries()) {
      if (window > before[entry]! && backlogs[entry]! > 0) options.windowGrew(entry)
    }
  }

  function end (task: AgentTask, result: 'succeeded' | 'failed' | 'refused', runMilliseconds: number): void {
    unfinished[task.entry]! -= 1
    task.ended(result, runMilliseconds)
    updateWindows()
  }

  function startTask (task: AgentTask): void {
    const fault = faultNow()
    if (fault === 'hangs') {
      running += 1
      return
    }
    const failed = fault === 'fails' || task.fails
    const slowness = model.slowness * (fault === 'slow' ? 10 : 1)
    const runMilliseconds = failed ? FAILURE_MILLISECONDS : task.workMilliseconds * slowness
    running += 1
    busy += runMilliseconds
    if (task.urgent) reserve.recordStart(events.now())
    events.after(runMilliseconds, () => {
      running -= 1
      if (task.urgent) reserve.recordCompletion(events.now())
      end(task, failed ? 'failed' : 'succeeded', runMilliseconds)
      startWaiting()
    })
  }

  function nextJobTask (): AgentTask | undefined {
    return running < model.slots - reserve.reservedSlots(events.now()) ? waiting.other.shift() : undefined
  }

  function startWaiting (): void {
    while (running < model.slots) {
      const task = waiting.urgent.shift() ?? nextJobTask()
      if (task === undefined) return
      if (task.startBefore <= events.now()) end(task, 'refused', 0)
      else startTask(task)
    }
  }

  return {
    model,
    receive: task => {
      unfinished[task.entry]! += 1
      waiting[task.urgent ? 'urgent' : 'other'].push(task)
      startWaiting()
      updateWindows()
    },
    setBacklog: (entry, backlog) => {
      backlogs[entry] = backlog
      updateWindows()
    },
    window: entry => windows[entry]!,
    busyMilliseconds: () => busy
  }
}
