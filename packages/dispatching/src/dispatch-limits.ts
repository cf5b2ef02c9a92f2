/** Limits, intervals and cost weights of an entry's dispatcher. */

/** Share of its objective for which a job may wait at the entry for free capacity; a later refusal is of no use. */
export const MAXIMUM_WAIT_SHARE = 0.22
/** Timeout of a start or stop call while answers come at once. */
export const CALL_TIMEOUT_MILLISECONDS = 150
/** Longest timeout of a start or stop call: an order that is older than the entry lease is refused in any case. */
export const MAXIMUM_CALL_TIMEOUT_MILLISECONDS = 400
/** Maximum wait of a watch call to an agent with tasks of this entry; half of its entry lease if that is shorter. */
export const BUSY_WATCH_MILLISECONDS = 280
/** Mean wait of the watch calls to agents without tasks of this entry, for each known agent of the fleet. */
export const IDLE_WATCH_MILLISECONDS_PER_AGENT = 60
/** Bounds of that wait up to which all agents are watched alike: unresponsive ones are noticed within seconds. */
export const IDLE_WATCH_BOUNDS_MILLISECONDS = { minimum: 600, maximum: 4_000 }
/**
 * Wait for agents of other failure domains in larger regions, as a multiple of that for agents nearby, which get the
 * work while they have room.
 */
export const REMOTE_IDLE_WATCH_FACTOR = 4
/** Longest wait of any watch call; with more than 167 agents in five domains the call rate rises with the fleet. */
export const LONGEST_IDLE_WATCH_MILLISECONDS = 16_000
/** Pause between watch calls to an agent that does not answer. */
export const WATCH_RETRY_MILLISECONDS = 100
/** Cost of an upstream in another failure domain, as response time: traffic between failure domains is expensive. */
export const REMOTE_DOMAIN_COST_MILLISECONDS = 25
/** Cost of one more agent for a job, as response time: the specification is sent to each agent once. */
export const ADDITIONAL_AGENT_COST_MILLISECONDS = 12
/**
 * Cost of an upstream whose last contact was an entry lease ago or earlier, as response time: its reported free
 * capacity may be outdated.
 */
export const STALE_VIEW_COST_MILLISECONDS = 15
/**
 * Cost of the agent that an entry prefers least, as response time. Each entry prefers other agents, so that entries
 * choose the same upstream at once less often.
 */
export const MAXIMUM_PREFERENCE_COST_MILLISECONDS = 5
/**
 * Maximum wait of a task at an agent where free capacity is expected: another entry may have taken it, and with several
 * runs at an upstream one of them ends within about this time.
 */
export const SHORT_WAIT_MILLISECONDS = 20
/** Least slack of a job for which its tasks may wait at such an agent, as a multiple of that wait. */
export const MINIMUM_SLACK_FACTOR = 2
/** Maximum wait of a task at an agent without free capacity, as a multiple of the expected wait. */
export const MAXIMUM_WAIT_FACTOR = 2
/** Time added to the multiple of the expected wait that a task may wait at an agent. */
export const MAXIMUM_WAIT_EXTRA_MILLISECONDS = 30
/** Cost of an upstream without free capacity, as response time: the expected wait there is uncertain. */
export const NO_CAPACITY_COST_MILLISECONDS = 25
/** Cost of a fully used upstream, as a share of the run time: another entry may take the capacity first. */
export const CONTENTION_COST_SHARE = 0.15
/** Added to the priority of late jobs, so that they rank after all jobs that can still meet their objective. */
export const LATE_PRIORITY_OFFSET = 4
/** Share of an upstream's processor that late jobs leave free for jobs that can still meet their objective. */
export const RESERVED_CAPACITY_SHARE = 0.1
/** Multiple of its objective after which the answer to a job that has not been started is of no use to its caller. */
export const USEFUL_OBJECTIVES = 3
/** Maximum number of late jobs that wait at the entry; more would wait past their deadlines. */
export const MAXIMUM_WAITING_LATE_JOBS = 40
/** Lowest ratio of run time to estimate expected of any upstream; shows when a deadline can't be met any more. */
export const MINIMUM_SLOWNESS = 0.4
/** Failure share from which an upstream is ejected, if its peers fail less often. */
export const EJECTION_FAILURE_SHARE = 0.4
/** Largest share of the upstreams of a service that may be ejected at once. */
export const MAXIMUM_EJECTED_SHARE = 0.34
/** Interval at which an ejected upstream is sent a task, to find out whether it has recovered. */
export const PROBE_INTERVAL_MILLISECONDS = 500
/** Minimum interval between two passes over the waiting jobs; without it every answer of an agent causes a pass. */
export const MINIMUM_ASSIGN_INTERVAL_MILLISECONDS = 8
/** Maximum number of waiting jobs that a pass tries to send; half of them are the first ones in order. */
export const MAXIMUM_ATTEMPTS_PER_PASS = 16
/** Pause before a task is sent again to an agent that answered that it is still stopping another run of the task. */
export const BUSY_RETRY_MILLISECONDS = 30
/** Maximum wait of a run that must have its upstream to itself, for the runs that are there to end. */
export const LONE_WAIT_MILLISECONDS = 400
/** Pause after such a run was refused: its upstream got no other runs while it waited. */
export const LONE_RETRY_MILLISECONDS = 400
/** Time after a refusal before which the caller is asked not to retry. */
export const RETRY_AFTER_MILLISECONDS = 1_000
/**
 * Retry-After while all upstreams of a service are evacuated: an operator ends that, and an entry knows of it some
 * seconds later at most.
 */
export const EVACUATED_RETRY_AFTER_MILLISECONDS = 5_000
/** Gap between two ticks above which the process must have been paused. */
export const PROCESS_PAUSE_MILLISECONDS = 300
/**
 * Gap right after such a one above which the process was paused again. Below it, callers that left meanwhile have not
 * sent their jobs again, and a process with slow turns must send its tasks.
 */
export const REPEATED_PAUSE_MILLISECONDS = 1_000
