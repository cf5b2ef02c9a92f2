/** Measures elapsed time, processor time and heap memory of this process. */

const MICROSECONDS_PER_NANOSECOND = 1 / 1_000
const COLLECTION_COUNT = 4

/** Returns the elapsed time of synchronous work, in microseconds. */
export function measureMicroseconds (work: () => void): number {
  const startedAt = process.hrtime.bigint()
  work()
  return Number(process.hrtime.bigint() - startedAt) * MICROSECONDS_PER_NANOSECOND
}

/** Returns the processor time that the whole process used while asynchronous work ran, in microseconds. */
export async function measureProcessorMicroseconds (work: () => Promise<void>): Promise<number> {
  const before = process.cpuUsage()
  await work()
  const { user, system } = process.cpuUsage(before)
  return user + system
}

/**
 * Returns the bytes of heap in use after garbage collection.
 *
 * @throws Error unless Node runs with `--expose-gc`.
 */
export function measureHeapBytes (): number {
  if (globalThis.gc === undefined) throw new Error('run node with --expose-gc')
  for (let collection = 0; collection < COLLECTION_COUNT; collection += 1) globalThis.gc()
  return process.memoryUsage().heapUsed
}

/** Returns the smallest of several measurements, the one with the least interference from other load on the machine. */
export function measureMinimum (runCount: number, measure: () => number): number {
  let minimum = Number.POSITIVE_INFINITY
  for (let run = 0; run < runCount; run += 1) minimum = Math.min(minimum, measure())
  return minimum
}
