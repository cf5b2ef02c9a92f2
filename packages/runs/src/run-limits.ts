/** Timeouts and weights of an agent's decisions. */

/** Wait for the answer to a start or a stop; an upstream on the same VM answers within a few milliseconds. */
export const ORDER_TIMEOUT_MILLISECONDS = 50
/** Wait of a listing for an end: an eighth of the run lease, so that lost listings neither end it nor hide ends. */
export const LIST_WAIT_MILLISECONDS = 80
/** The same where nothing runs and no end is awaited; well within the lease of a run that starts meanwhile. */
export const IDLE_LIST_WAIT_MILLISECONDS = 240
/** Time beyond its wait after which a listing is given up. */
export const LIST_TIMEOUT_MILLISECONDS = 50
/** Listings without an answer in a row after which the lease is no longer renewed, so that the runs surely end. */
export const MAXIMUM_SILENT_LISTINGS = 4
/** Pause between attempts to reach an upstream that does not answer. */
export const RETRY_MILLISECONDS = 20
/** Time without a listing after which an upstream takes no new runs: three listings of ordinary length. */
export const LISTING_AGE_MILLISECONDS = 700
/** Step by which the fence is raised when the upstream has seen a higher one. */
export const FENCE_STEP = 100_000
/** Forward jump of the upstream's clock against the agent's from which on the agent's VM must have been suspended. */
export const SUSPENSION_MILLISECONDS = 200
/** Greatest drift of the upstream's clock against the agent's, as a share. */
export const CLOCK_DRIFT = 0.025
/** Time without progress after which a run stands still: two listings, and the steps in which progress is told. */
export const STANDSTILL_MILLISECONDS = 400
/** Weight of the newest run in the moving means. */
export const OBSERVATION_WEIGHT = 0.1
/** Attempts to find a run number that the upstream has not seen. */
export const MAXIMUM_RUN_NUMBER_ATTEMPTS = 6
/** Time for which an order that was refused or has ended is remembered; copies go stale within the entry lease. */
export const TOMBSTONE_MILLISECONDS = 2_000
/** Most tasks that wait at an agent; a few seconds of work. */
export const MAXIMUM_WAITING_RUNS = 400
