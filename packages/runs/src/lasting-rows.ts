/** Rows of listings that show runs which the agent doesn't know, or can't tell. */
import { LEASE_MARGIN_MILLISECONDS, RUN_LEASE_BOUND_MILLISECONDS, UNTOLD_LEASES } from '@baobabpost/fleet-calls'

/** Longest real time for which a run goes on once its lease is no longer renewed, whichever build granted it. */
const LEASE_BOUND_MILLISECONDS =
  Math.max(RUN_LEASE_BOUND_MILLISECONDS, UNTOLD_LEASES.runMilliseconds) + LEASE_MARGIN_MILLISECONDS

/** Tells rows that may show a run from those that stay in the listings though any run has ended with its lease. */
export interface LastingRows {
  /**
   * Records the rows of a listing that was requested at `requestedAt`, while the run lease was last renewed at
   * `leaseRenewedAt`.
   */
  record: (rows: ReadonlySet<string>, requestedAt: number, leaseRenewedAt: number) => void
  /** Whether the row was still listed after the lease of any run had ended, and has been listed since. */
  isDisproved: (row: string) => boolean
}

interface LastingRow {
  /** Request time of the first listing that had it. */
  readonly since: number
  readonly isDisproved: boolean
}

/**
 * Creates the record of an upstream instance without listings.
 *
 * @example
 * const rows = createLastingRows()
 * rows.record(new Set(['5c0e7a21d94b36f8.0.0.9 3']), requestedAt, leaseRenewedAt)
 */
export function createLastingRows (): LastingRows {
  let known = new Map<string, LastingRow>()
  return {
    record: (rows, requestedAt, leaseRenewedAt) => {
      const listed = new Map<string, LastingRow>()
      for (const row of rows) {
        const { since, isDisproved } = known.get(row) ?? { since: requestedAt, isDisproved: false }
        const heldFor = requestedAt - Math.max(since, leaseRenewedAt)
        listed.set(row, { since, isDisproved: isDisproved || heldFor >= LEASE_BOUND_MILLISECONDS })
      }
      known = listed
    },
    isDisproved: row => known.get(row)?.isDisproved === true
  }
}
