/** Types of the probes and their results. */
import type { CostPoint } from './fit-slope.js'

/** Measured points of one cost. */
export interface ProbeResult {
  /** Unit of the size, such as `task`. */
  readonly per: string
  /** Description of the cost, with its unit. */
  readonly cost: string
  readonly points: readonly CostPoint[]
}

/** Measures one or more costs. */
export type Probe = () => Promise<readonly ProbeResult[]>
