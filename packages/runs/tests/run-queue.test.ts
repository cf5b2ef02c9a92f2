import { describe, expect, it } from 'vitest'
import type { RunRecord } from '../src/run-record.js'
import { createRunQueue } from '../src/run-queue.js'

/** Returns a run of which the queue sees the priority and the size. */
function run (priority: number, processor: number): RunRecord {
  return { priority, order: { size: { processor, memory: 0, accelerators: 0 } } } as RunRecord
}

describe('the waiting processor demand by priority', () => {
  it('has an entry for each priority up to the last one', () => {
    const queue = createRunQueue()
    for (const record of [run(0, 100), run(2, 30), run(2, 3)]) queue.add(record)
    expect(queue.waitingProcessor()).toEqual([100, 0, 33])
  })

  // An entry and an agent stood still for a queue with the priority 2,147,483,647.
  it('adds up the priorities from 63 on, however large they are', () => {
    const queue = createRunQueue()
    for (const record of [run(1, 5), run(62, 7), run(63, 10), run(5_000_000, 200)]) queue.add(record)
    const sums = queue.waitingProcessor()
    expect(sums).toHaveLength(64)
    expect([sums[1], sums[62], sums[63]]).toEqual([5, 7, 210])
  })
})
