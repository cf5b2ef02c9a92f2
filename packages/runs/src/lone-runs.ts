/** Runs of tasks under which several upstreams have crashed: each has its upstream to itself. */
import type { RunRecord } from './run-record.js'
import type { RunRegistryState } from './run-registry-state.js'
import { mustRunAlone } from './registered-runs.js'

/** Whether the upstream is kept free for a lone run, which runs or waits for the others to end. */
export function isKeptForLoneRun ({ runCounts }: RunRegistryState): boolean {
  return runCounts.lone > 0
}

/** Whether a waiting run may start beside those that are at the upstream. */
export function mayStartBesideOthers ({ runCounts }: RunRegistryState, waiting: RunRecord): boolean {
  return mustRunAlone(waiting) ? runCounts.reserved === 0 : runCounts.reservedLone === 0
}
