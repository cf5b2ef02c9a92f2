/** Runs that wait at an agent for room: by priority, then by arrival. */
import type { RunRecord } from './run-record.js'

/** A queue of runs. */
export interface RunQueue {
  add: (record: RunRecord) => void
  remove: (record: RunRecord) => void
  /** In the order in which they should start. */
  inOrder: () => readonly RunRecord[]
  /** Processor of the waiting runs by priority, in thousandths of a core. */
  waitingProcessor: () => number[]
}

/**
 * Makes an empty queue.
 *
 * @example
 * const queue = createRunQueue()
 * queue.add(record)
 */
export function createRunQueue (): RunQueue {
  let records: RunRecord[] = []
  return {
    add: record => {
      let position = records.length
      while (position > 0 && (records[position - 1] as RunRecord).priority > record.priority) position -= 1
      records.splice(position, 0, record)
    },
    remove: record => { records = records.filter(other => other !== record) },
    inOrder: () => records,
    waitingProcessor: () => {
      const sums: number[] = []
      for (const { priority, order } of records) {
        while (sums.length <= priority) sums.push(0)
        sums[priority] = (sums[priority] ?? 0) + order.size.processor
      }
      return sums
    }
  }
}
