/** What the rows of a listing show of the runs in the registry, and of others. */
import { isOrdered } from './run-record.js'
import type { RunRegistryState } from './run-registry-state.js'
import type { Listing } from './upstream.js'

/** Which runs a listing shows, of which one may name a task more than once, with several run numbers. */
export interface ListedRuns {
  has: (task: string, run: number) => boolean
  /** Whether any run of the task is listed; a row that outlasted every lease is none. */
  hasTask: (task: string) => boolean
  /** Whether a row of the task did not decode, so that its absence shows nothing. */
  isDoubtful: (task: string) => boolean
}

/** Key of a row by which a listing names a run. */
export function rowOf (task: string, run: number): string {
  return `${task} ${run}`
}

export function indexRuns ({ upstream }: RunRegistryState, { running, doubtfulTasks }: Listing): ListedRuns {
  const keys = new Set(running.map(({ task, run }) => rowOf(task, run)))
  const plausible = running.filter(({ task, run }) => !upstream.lastingRows.isDisproved(rowOf(task, run)))
  const tasks = new Set(plausible.map(({ task }) => task))
  return {
    has: (task, run) => keys.has(rowOf(task, run)),
    hasTask: task => tasks.has(task),
    isDoubtful: task => doubtfulTasks?.has(task) === true && !upstream.lastingRows.isDisproved(task)
  }
}

export function isInRegistry (state: RunRegistryState, task: string, run: number): boolean {
  const record = state.runs.get(task)
  return record !== undefined && isOrdered(record) && record.upstreamRunNumber === run
}

/** Records the rows that show no run of the registry. */
export function recordLastingRows (
  state: RunRegistryState, { running, doubtfulTasks }: Listing, requestedAt: number
): void {
  const rows = new Set(doubtfulTasks)
  for (const { task, run } of running) if (!isInRegistry(state, task, run)) rows.add(rowOf(task, run))
  state.upstream.lastingRows.record(rows, requestedAt, state.upstream.renewals.renewedAt() ?? -Infinity)
}
