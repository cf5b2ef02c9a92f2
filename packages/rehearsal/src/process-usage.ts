/** Memory and descriptors of another process, as Linux tells them. */
import { readdirSync, readFileSync } from 'node:fs'

/** Interval at which the descriptors are counted. */
const SAMPLE_MILLISECONDS = 25
const BYTES_PER_KIBIBYTE = 1_024

/** Largest use of memory and descriptors by a process. */
export interface ProcessUsage {
  /** Whether the process runs. */
  readonly isAlive: boolean
  /** Largest size of its resident memory since it started, in bytes. */
  readonly peakMemoryBytes: number
  /** Largest number of its open descriptors that was seen. */
  readonly peakDescriptors: number
}

function readPeakMemory (pid: number): number {
  const status = readFileSync(`/proc/${pid}/status`, 'utf8')
  return Number(/^VmHWM:\s+(\d+) kB$/m.exec(status)?.[1] ?? NaN) * BYTES_PER_KIBIBYTE
}

/**
 * Watches a process until the returned function is called, which returns what was seen.
 *
 * @example
 * const stopWatch = watchProcess(child.pid)
 * const { isAlive, peakMemoryBytes } = stopWatch()
 */
export function watchProcess (pid: number): () => ProcessUsage {
  let usage: ProcessUsage = { isAlive: true, peakMemoryBytes: 0, peakDescriptors: 0 }

  function sample (): void {
    try {
      const peakDescriptors = Math.max(usage.peakDescriptors, readdirSync(`/proc/${pid}/fd`).length)
      usage = { isAlive: true, peakMemoryBytes: readPeakMemory(pid), peakDescriptors }
    } catch {
      // A process that has ended has no such files.
      usage = { ...usage, isAlive: false }
    }
  }

  const timer = setInterval(sample, SAMPLE_MILLISECONDS)
  return () => {
    clearInterval(timer)
    sample()
    return usage
  }
}
