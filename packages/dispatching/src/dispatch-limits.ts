/** Limits and weights of an entry's decisions. */

/** Share of its objective for which a job may wait at the entry for room; later refusals help nobody. */
export const WAITING_SHARE = 0.22
/** Wait for the answer to a start or a stop. */
export const CALL_TIMEOUT_MILLISECONDS = 150
/** Wait of a watch at an agent that runs something for this entry: half of the entry lease. */
export const BUSY_WATCH_MILLISECONDS = 280
/** Wait of a watch at an agent that runs nothing for this entry: this much for each agent that is known … */
export const IDLE_WATCH_MILLISECONDS_PER_AGENT = 60
/** … within these bounds: the cost grows late with the fleet, and silence is noticed within seconds. */
export const IDLE_WATCH_MILLISECONDS = { least: 600, most: 4_000 }
/** Time beyond its wait after which a watch is given up. */
export const WATCH_TIMEOUT_MILLISECONDS = 150
/** Pause between watches of an agent that does not answer. */
export const WATCH_RETRY_MILLISECONDS = 100
/** Cost of another failure domain, as milliseconds of response: bytes between them are dear. */
export const FAR_MILLISECONDS = 25
/** Cost of one more agent for a job, as milliseconds of response: each gets the specification once. */
export const SPREAD_MILLISECONDS = 12
/** Cost of an upstream that was last heard of a lease ago, as milliseconds of response: its room is a guess by then. */
export const OLD_VIEW_MILLISECONDS = 15
/** Largest cost by which entries differ in what they prefer, as milliseconds of response: they collide less often. */
export const PREFERENCE_MILLISECONDS = 5
/** Times the expected wait for which a task may wait at an agent whose room is taken … */
export const PATIENCE_FACTOR = 2
/** … and this much more, in milliseconds. */
export const PATIENCE_MILLISECONDS = 30
/** Cost of an upstream without room, as milliseconds of response: how soon it has some is a guess. */
export const NO_ROOM_MILLISECONDS = 25
/** Cost of an upstream whose room would be all taken, as a share of the run time: another entry may be there first. */
export const CROWDED_SHARE = 0.15
/** Priorities below all of those in time, for jobs that can only be late. */
export const LATE_PRIORITY = 4
/** Share of an upstream that is left free for work in time when jobs that are late get the rest. */
export const SPARE_SHARE = 0.1
/** Jobs that may wait here although they can only be late; more would wait past their deadlines. */
export const MAXIMUM_LATE_JOBS = 40
/** Run time over estimate below which no upstream is expected, for telling that a deadline can't be met. */
export const FASTEST_SLOWNESS = 0.4
/** Failure share from which on an upstream is ejected, if its peers do better. */
export const EJECTION_SHARE = 0.4
/** Largest share of the upstreams of a service that may be ejected at once. */
export const MAXIMUM_EJECTED_SHARE = 0.34
/** Interval at which an ejected upstream gets a task. */
export const PROBE_MILLISECONDS = 500
/** Shortest interval between two passes over the waiting jobs: under overload each answer of an agent asks for one. */
export const ASSIGN_MILLISECONDS = 8
/** Pause before a task is sent again to an agent that is still stopping another run of it. */
export const BUSY_PAUSE_MILLISECONDS = 30
/** Shortest time that callers are asked to stay away after a refusal. */
export const RETRY_AFTER_MILLISECONDS = 1_000
/** Gap between two ticks from which on the process must have stood still. */
export const STALL_MILLISECONDS = 300
