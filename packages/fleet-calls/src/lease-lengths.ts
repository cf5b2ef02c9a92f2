/**
 * Lengths of the leases that limit how long a run can outlive the entry that ordered it.
 *
 * A client whose connection broke sends its job again 1,300 ms later, to any entry. No run of the first attempt may
 * be left then, even if the entry failed and the agent after it. Both leases together, including the drift of the
 * upstream's clock, are therefore shorter than that.
 */

/** Time for which an agent keeps an entry's runs after it sent the newest answer that the entry has received. */
export const ENTRY_LEASE_MILLISECONDS = 570

/** Time for which an upstream keeps runs after the agent last renewed their lease. */
export const RUN_LEASE_MILLISECONDS = 640

/** Longest real duration of a run lease: an upstream's clock may be 2 % slow. */
export const RUN_LEASE_BOUND_MILLISECONDS = RUN_LEASE_MILLISECONDS * 1.02

/** Allowance for late timers and for messages in transit when one process relies on a lease kept by another. */
export const LEASE_MARGIN_MILLISECONDS = 20
