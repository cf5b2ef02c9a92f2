/**
 * Lengths of the leases that bound how long a run can outlive the entry that asked for it.
 *
 * A client whose connection broke sends its job again 1,300 ms later, to any entry. By then no run of the first
 * attempt may be left, even if the entry and then the agent died: the sum of both leases, with the drift of the
 * upstream's clock, stays below that.
 */

/** Time for which an agent lets an entry's runs go on after the entry last proved that it hears the agent. */
export const ENTRY_LEASE_MILLISECONDS = 570

/** Time for which an upstream lets runs go on after the agent last renewed its lease. */
export const RUN_LEASE_MILLISECONDS = 640

/** Longest real time that a run lease lasts: an upstream's clock may be 2 % slow. */
export const RUN_LEASE_BOUND_MILLISECONDS = RUN_LEASE_MILLISECONDS * 1.02

/** Time that the bounds of two processes allow for timers that fire late and messages under way. */
export const LEASE_MARGIN_MILLISECONDS = 20
