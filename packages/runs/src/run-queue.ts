/** Queue of the runs that wait at an agent for free capacity, by priority and then by arrival. */
import type { RunRecord } from './run-record.js'

export interface RunQueue {
  add: (record: RunRecord) => void
  remove: (record: RunRecord) => void
  /** The waiting runs in the order in which they start. */
  inOrder: () => readonly RunRecord[]
  /** Processor demand of the waiting runs by priority, in thousandths of a core. */
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
