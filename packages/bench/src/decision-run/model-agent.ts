/** A simulated agent and its upstream, with slots, a queue, dispatch windows, a speed and faults. */
import type { AgentIdentity } from '@baobabpost/common'
import { createUrgentReserve, shareWindows } from '@baobabpost/execution'
import type { EventQueue } from './event-queue.js'

const FAILED_RUN_MILLISECONDS = 5

export type UpstreamFault = 'none' | 'fails' | 'slow' | 'hangs'

/** A period in which an upstream has a fault, in milliseconds from the start of the run. */
export interface FaultPeriod {
  readonly from: number
  readonly to: number
  readonly fault: UpstreamFault
}

/** Properties of a simulated agent. */
export interface AgentModel {
  readonly identity: AgentIdentity
  readonly failureDomain: string
  readonly slots: number
  /** Run time divided by the run time at the fastest upstream. */
  readonly slowness: number
  readonly faults: readonly FaultPeriod[]
}

/** A task that an entry dispatches to the agent. */
export interface AgentTask {
  readonly entry: number
  readonly urgent: boolean
  /** Run time at the fastest upstream, in milliseconds. */
  readonly workMilliseconds: number
  readonly startBefore: number
  /** Whether the task fails at every upstream. */
  readonly isFailing: boolean
  /** Called with the result, at the time at which the agent has it. */
  readonly onResult: (result: 'succeeded' | 'failed' | 'refused', runMilliseconds: number) => void
}

export interface ModelAgent {
  readonly model: AgentModel
  receive: (task: AgentTask) => void
  /** Sets the number of tasks that wait at an entry. */
  setBacklog: (entry: number, backlog: number) => void
  window: (entry: number) => number
  /** Returns the total run time of started tasks over all slots, in milliseconds. */
  busyMilliseconds: () => number
}

export interface ModelAgentOptions {
  readonly model: AgentModel
  readonly events: EventQueue
  readonly startTime: number
  readonly entries: number
  readonly prefetchTasks: number
  /** Slots that tasks of jobs leave free, per urgent task running on average. */
  readonly reservePerUrgentTask: number
  /** Called when the dispatch window of an entry with a backlog has grown. */
  readonly onWindowGrowth: (entry: number) => void
}

export function createModelAgent (options: ModelAgentOptions): ModelAgent {
  const { model, events, startTime } = options
  const waiting: Record<'urgent' | 'other', AgentTask[]> = { urgent: [], other: [] }
  const unfinishedTasks = new Array<number>(options.entries).fill(0)
  const backlogs = new Array<number>(options.entries).fill(0)
  const capacity = model.slots + options.prefetchTasks
  const urgentReserve = createUrgentReserve({
    slots: model.slots, slotsPerUrgentTask: () => options.reservePerUrgentTask
  })
  let windows = shareWindows(capacity, backlogs)
  let running = 0
  let totalBusyMilliseconds = 0

  function currentFault (): UpstreamFault {
    const elapsed = events.now() - startTime
    for (const { from, to, fault } of model.faults) if (elapsed >= from && elapsed < to) return fault
    return 'none'
  }

  function updateWindows (): void {
    const before = windows
    windows = shareWindows(capacity, unfinishedTasks.map((count, entry) => count + backlogs[entry]!))
    for (const [entry, window] of windows.entries()) {
      if (window > before[entry]! && backlogs[entry]! > 0) options.onWindowGrowth(entry)
    }
  }

  function completeTask (task: AgentTask, result: 'succeeded' | 'failed' | 'refused', runMilliseconds: number): void {
    unfinishedTasks[task.entry]! -= 1
    task.onResult(result, runMilliseconds)
    updateWindows()
  }

  function startTask (task: AgentTask): void {
    const fault = currentFault()
    if (fault === 'hangs') {
      running += 1
      return
    }
    const failed = fault === 'fails' || task.isFailing
    const slowness = model.slowness * (fault === 'slow' ? 10 : 1)
    const runMilliseconds = failed ? FAILED_RUN_MILLISECONDS : task.workMilliseconds * slowness
    running += 1
    totalBusyMilliseconds += runMilliseconds
    if (task.urgent) urgentReserve.recordStart(events.now())
    events.schedule(runMilliseconds, () => {
      running -= 1
      if (task.urgent) urgentReserve.recordCompletion(events.now())
      completeTask(task, failed ? 'failed' : 'succeeded', runMilliseconds)
      startWaitingTasks()
    })
  }

  function takeNextJobTask (): AgentTask | undefined {
    return running < model.slots - urgentReserve.reservedSlots(events.now()) ? waiting.other.shift() : undefined
  }

  function startWaitingTasks (): void {
    while (running < model.slots) {
      const task = waiting.urgent.shift() ?? takeNextJobTask()
      if (task === undefined) return
      if (task.startBefore <= events.now()) completeTask(task, 'refused', 0)
      else startTask(task)
    }
  }

  return {
    model,
    receive: task => {
      unfinishedTasks[task.entry]! += 1
      waiting[task.urgent ? 'urgent' : 'other'].push(task)
      startWaitingTasks()
      updateWindows()
    },
    setBacklog: (entry, backlog) => {
      backlogs[entry] = backlog
      updateWindows()
    },
    window: entry => windows[entry]!,
    busyMilliseconds: () => totalBusyMilliseconds
  }
}
