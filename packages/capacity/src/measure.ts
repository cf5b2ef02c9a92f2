/** Measures processor time and memory of this process. */

const MICROSECONDS_PER_NANOSECOND = 1 / 1_000
const COLLECTIONS = 4

/** Time that a piece of work took, in microseconds; for work that neither waits nor yields. */
export function microsecondsOf (work: () => void): number {
  const startedAt = process.hrtime.bigint()
  work()
  return Number(process.hrtime.bigint() - startedAt) * MICROSECONDS_PER_NANOSECOND
}

/** Processor time of the whole process while a piece of work ran, in microseconds. */
export async function processorMicrosecondsOf (work: () => Promise<void>): Promise<number> {
  const before = process.cpuUsage()
  await work()
  const { user, system } = process.cpuUsage(before)
  return user + system
}

/**
 * Bytes of the heap in use after a collection of garbage.
 *
 * @throws Error unless Node runs with `--expose-gc`.
 */
export function heapBytes (): number {
  if (globalThis.gc === undefined) throw new Error('run node with --expose-gc')
  for (let collection = 0; collection < COLLECTIONS; collection += 1) globalThis.gc()
  return process.memoryUsage().heapUsed
}

/** Smallest of several runs: what the work costs when nothing else disturbs it. */
export function leastOf (runs: number, measure: () => number): number {
  let least = Number.POSITIVE_INFINITY
  for (let run = 0; run < runs; run += 1) least = Math.min(least, measure())
  return least
}
