/** Timeouts, limits and weights of an agent's decisions. */

/** Timeout of a start or stop order; an upstream on the same VM answers within a few milliseconds. */
export const ORDER_TIMEOUT_MILLISECONDS = 50
/**
 * Time for which a list order waits at the upstream for a run to complete. An eighth of the run lease, so that a few
 * lost listings neither let the lease expire nor delay completions for long.
 */
export const LIST_WAIT_MILLISECONDS = 80
/** Wait of a list order while the agent has no runs; well within the lease of a run that starts in the meantime. */
export const IDLE_LIST_WAIT_MILLISECONDS = 240
/** Time beyond its wait after which a list order times out. */
export const LIST_TIMEOUT_MILLISECONDS = 50
/**
 * Largest number of start orders without an answer, and of stop orders. Further ones wait for answers: sent together,
 * they would time out behind each other, and be repeated.
 */
export const MAXIMUM_ORDERS_UNDER_WAY = 32
/**
 * Run lease that is granted while orders are answered. Four listings in a row fit in, of which three may be lost; a
 * shorter lease lets the tasks of an upstream that has ended start elsewhere sooner.
 */
export const SHORT_RUN_LEASE_MILLISECONDS = 400
/** Time after an order without an answer in which the full run lease is granted: more orders may be lost. */
export const FULL_LEASE_PERIOD_MILLISECONDS = 10_000
/** Consecutive unanswered listings after which the run lease is no longer renewed, so that it expires. */
export const MAXIMUM_UNANSWERED_LISTINGS = 4
/** Consecutive unanswered listings after which no new runs are accepted; after the first one none is started. */
export const UNANSWERED_LISTINGS_BEFORE_REFUSING = 2
/** Longest time by which one listing overtakes another: many times the wait and timeout of a list order. */
export const MAXIMUM_OVERTAKING_MILLISECONDS = 5_000
/** Largest number of heartbeats that overtake one: those of many minutes. */
export const MAXIMUM_OVERTAKING_HEARTBEATS = 1_000
/** Pause between attempts to list an upstream that does not answer. */
export const RETRY_DELAY_MILLISECONDS = 20
/** Age of the last listing above which no new runs are accepted: about three listing intervals. */
export const MAXIMUM_LISTING_AGE_MILLISECONDS = 700
/**
 * First increment of the fencing token when the upstream has seen a higher one; each rejection in a row doubles it. A
 * second, so that the token of the next incarnation, which is its start time in milliseconds, exceeds the raised one.
 */
export const FENCING_TOKEN_STEP = 1_000
/** Largest increment; an upstream that rejects every token does not raise it without bound within hours. */
export const MAXIMUM_FENCING_TOKEN_STEP = 100_000
/** Largest step back of the time of day that entries make up for; a token further ahead comes from a faulty one. */
export const MAXIMUM_FORMER_FENCE_LEAD = 30 * 24 * 3_600_000
/** Lead of the token that entries are told, so that they aren't told each time the agent raises its own by one. */
export const FENCE_LEAD = 100
/** Shortest time between two log lines of one kind on lease renewals without an answer. */
export const RENEWAL_LOG_INTERVAL_MILLISECONDS = 1_000
/** Smallest forward jump of the upstream's clock that is logged; late readings cause smaller ones. */
export const LOGGED_SUSPENSION_MILLISECONDS = 200
/** Age of a reading of the upstream's clock up to which others are compared with it; drift is at most 13 ms in it. */
export const RECENT_READINGS_MILLISECONDS = 500
/** Maximum drift of the upstream's clock relative to the agent's, as a share of the elapsed time. */
export const MAXIMUM_CLOCK_DRIFT = 0.025
/** Time without progress after which a run counts as stalled: two listings plus the interval of progress updates. */
export const STALL_TIMEOUT_MILLISECONDS = 400
/** Weight of the newest run in the exponential moving averages. */
export const OBSERVATION_WEIGHT = 0.1
/** Attempts to find a run number that the upstream has not seen. */
export const MAXIMUM_RUN_NUMBER_ATTEMPTS = 6
/**
 * Repetitions of a start order whose answers were all lost, after which the run goes back to its entry. Each takes at
 * least 50 ms for the start and a listing; an upstream that loses three in a row loses most of its orders.
 */
export const MAXIMUM_UNANSWERED_REPETITIONS = 2
/** Retention of the tombstone of an order; delayed copies of the order go stale within the entry lease. */
export const TOMBSTONE_RETENTION_MILLISECONDS = 2_000
/**
 * Bounds of the shortest time between two changes of the open orders that are told to all entries: a caller that sends
 * its job again does so 1,300 ms after its entry was lost.
 */
export const OPEN_ORDERS_INTERVAL_MILLISECONDS = { minimum: 200, maximum: 900 }
/** The same for each entry: their number times the changes of all agents is what each of them reads. */
export const OPEN_ORDERS_INTERVAL_PER_ENTRY_MILLISECONDS = 25
/** Age from which the open order of a pending run is told to entries: that of the listing after its timeout. */
export const OPEN_ORDER_TOLD_AFTER_MILLISECONDS = ORDER_TIMEOUT_MILLISECONDS
/** Largest number of open orders of other agents that are kept: those of several agents that are lost together. */
export const MAXIMUM_KEPT_ORDERS = 500
/** Largest number of a completion, where none is known yet: more than an upstream ends in months. */
export const MAXIMUM_COMPLETION_NUMBER = 1_000_000_000
/** Largest difference between the numbers of completions; an upstream lists at most 500 at a time, numbered in turn. */
export const MAXIMUM_COMPLETION_GAP = 10_000
/** Maximum number of runs in an agent's queue: a few seconds of work. */
export const MAXIMUM_WAITING_RUNS = 400
/** Largest number of run reports in one answer: an entry handles an answer in one turn of its event loop. */
export const MAXIMUM_REPORTS_PER_ANSWER = 250
