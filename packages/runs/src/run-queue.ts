/** Queue of the runs that wait at an agent for free capacity, by priority and then by arrival. */
import { WAITING_LEVELS } from '@baobabpost/fleet-calls'
import type { RunRecord } from './run-record.js'

export interface RunQueue {
  add: (record: RunRecord) => void
  remove: (record: RunRecord) => void
  /** Number of waiting runs. */
  count: () => number
  /** Returns the waiting runs in the order in which they start. */
  inOrder: () => RunRecord[]
  /** Processor demand of the waiting runs by priority, in thousandths of a core, as `UpstreamLoad` has it. */
  waitingProcessor: () => number[]
}

/**
 * Creates an empty queue.
 *
 * @example
 * const queue = createRunQueue()
 * queue.add(record)
 */
export function createRunQueue (): RunQueue {
  /** Runs by priority; those of one priority by arrival. */
  const recordsByPriority = new Map<number, Set<RunRecord>>()
  const processorByPriority = new Map<number, number>()
  let count = 0

  function priorities (): number[] {
    return [...recordsByPriority.keys()].sort((left, right) => left - right)
  }

  function countProcessor ({ priority, order }: RunRecord, sign: 1 | -1): void {
    const sum = (processorByPriority.get(priority) ?? 0) + sign * order.size.processor
    processorByPriority.set(priority, recordsByPriority.has(priority) ? sum : 0)
  }

  return {
    add: record => {
      const { priority } = record
      recordsByPriority.set(priority, (recordsByPriority.get(priority) ?? new Set()).add(record))
      countProcessor(record, 1)
      count += 1
    },
    remove: record => {
      const records = recordsByPriority.get(record.priority)
      if (records?.delete(record) !== true) return
      if (records.size === 0) recordsByPriority.delete(record.priority)
      countProcessor(record, -1)
      count -= 1
    },
    count: () => count,
    inOrder: () => priorities().flatMap(priority => [...recordsByPriority.get(priority) ?? []]),
    waitingProcessor: () => {
      const sums: number[] = []
      for (const priority of priorities()) {
        const level = Math.min(Math.floor(priority), WAITING_LEVELS - 1)
        while (sums.length <= level) sums.push(0)
        sums[level] = (sums[level] ?? 0) + (processorByPriority.get(priority) ?? 0)
      }
      return sums
    }
  }
}
