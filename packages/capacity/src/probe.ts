/** What a probe gives: points by name, with the unit of their slope. */
import type { Point } from './fit-slope.js'

/** Points of one cost. */
export interface ProbeResult {
  /** What the size counts, such as `task`. */
  readonly per: string
  /** What was measured, with its unit. */
  readonly cost: string
  readonly points: readonly Point[]
}

/** Measures one or more costs. */
export type Probe = () => Promise<readonly ProbeResult[]>
