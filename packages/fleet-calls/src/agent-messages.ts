/**
 * Schemas of the calls that entries make to agents.
 *
 * Processes of several builds call each other while machines are replaced. A message of another build must decode: a
 * process that can't read an answer doesn't know what the other one did. So a new field is optional, a reader ignores
 * fields that it does not know, and decodes names that a later build may add as strings.
 */
import { Schema } from 'effect'
import { CrashFacts } from './crash-facts.js'
import { EvacuationState } from './evacuations.js'
import { RememberedRunTimes, RunTimes } from './run-times.js'
import { KeptOrders, OpenOrders } from './late-orders.js'
import { Size } from './size.js'
import { Amount, Count, FencingToken, Quantity, SteadyTime, UnixTime } from './wire-values.js'

/** The calling entry, and the newest agent time that it has received. */
export const CallingEntry = Schema.Struct({
  /** Name of the entry; the same after a restart. */
  entry: Schema.String,
  /** Differs at each start of the entry. */
  incarnation: Schema.String,
  /** Agent's steady clock in the newest answer that the entry received, in milliseconds; 0 before the first. */
  heardAt: SteadyTime,
  /** Incarnation of the agent that gave that answer; absent before the first. */
  heardFrom: Schema.optionalKey(Schema.String),
  /**
   * Highest fencing token that the entry was told by incarnations of the agent that may have ended; absent without
   * one. A late order of such an incarnation must not have a higher token than those of the current one.
   */
  formerFence: Schema.optionalKey(FencingToken),
  /** The evacuated failure domains; absent where evacuations are not enabled, or not known yet. */
  evacuations: Schema.optionalKey(EvacuationState)
})
export type CallingEntry = typeof CallingEntry.Type

/** Properties of an upstream that change rarely. */
export const UpstreamProfile = Schema.Struct({
  /** Rises with each change, within one incarnation of the agent. */
  version: Count,
  service: Schema.String,
  failureDomain: Schema.String,
  capacity: Size,
  labels: Schema.Array(Schema.String),
  /** Whether new runs may start here. */
  accepting: Schema.Boolean,
  /** Start of the upstream's instance in Unix milliseconds; absent if the upstream does not report it. */
  instance: Schema.optionalKey(UnixTime),
  /** Newest factor on the callers' estimates that an entry told, by route; for entries that have just started. */
  routeFactors: Schema.optionalKey(Schema.Record(Schema.String, Amount)),
  /** Fencing token of the agent's orders; absent from builds before it was told. */
  fence: Schema.optionalKey(FencingToken),
  /** Recent crashes of the upstream; absent without any. */
  crashes: Schema.optionalKey(CrashFacts),
  /** Tasks with orders that the upstream, or a later instance of it, may yet carry out; absent without any. */
  openOrders: Schema.optionalKey(OpenOrders),
  /** Such orders of other agents, as entries have told them; absent without any. */
  keptOrders: Schema.optionalKey(KeptOrders),
  /** `LeaseLengths` that the agent keeps, or those of a later build; absent from builds before they were told. */
  leases: Schema.optionalKey(Schema.Unknown)
})
export type UpstreamProfile = typeof UpstreamProfile.Type

/** Largest number of priorities whose waiting tasks an agent tells apart; a queue may have any priority. */
export const WAITING_LEVELS = 64

/** Current load of an upstream, and its recent performance. */
export const UpstreamLoad = Schema.Struct({
  /** Capacity that is not reserved for runs which run, are being stopped or may yet start. */
  free: Size,
  /**
   * Processor demand of the waiting tasks by priority, in thousandths of a core; the last of `WAITING_LEVELS` entries
   * includes all later priorities.
   */
  waiting: Schema.Array(Amount),
  /** Processor capacity expected to be released per millisecond, in thousandths of a core. */
  releaseRate: Amount,
  /** Moving average of run time divided by estimate. */
  slowness: Amount,
  /** Moving average of the share of failed runs, 0 to 1. */
  failureShare: Amount,
  /** Learned run times; absent from an agent that does not learn them. */
  runTimes: Schema.optionalKey(RunTimes),
  /** How much longer the present runs take than the learned run times say; absent while they don't. */
  pace: Schema.optionalKey(Amount)
})
export type UpstreamLoad = typeof UpstreamLoad.Type

/**
 * Returns a load whose waiting demand has at most `WAITING_LEVELS` entries: agents of earlier builds tell one for each
 * number up to the largest priority.
 *
 * @example
 * boundWaitingLevels({ ...load, waiting: Array(5_000_000).fill(0) }).waiting.length // 64
 */
export function boundWaitingLevels (load: UpstreamLoad): UpstreamLoad {
  if (load.waiting.length <= WAITING_LEVELS) return load
  const waiting = load.waiting.slice(0, WAITING_LEVELS)
  let later = 0
  for (const processor of load.waiting.slice(WAITING_LEVELS)) later += processor
  waiting[WAITING_LEVELS - 1] = (waiting[WAITING_LEVELS - 1] ?? 0) + later
  return { ...load, waiting }
}

/**
 * Outcome of a run or of an order: `lapsed` if the run's lease expired, `lost` if the upstream's instance or the run
 * is gone, `superseded` if another entry has the same job now.
 */
export const RunOutcome = Schema.Literals(['done', 'failed', 'stopped', 'lapsed', 'lost', 'not-started', 'superseded'])
export type RunOutcome = typeof RunOutcome.Type
const isRunOutcome = Schema.is(RunOutcome)

/**
 * Returns an outcome, or `unknown` for one of a later build.
 *
 * @example
 * readOutcome('lapsed') // 'lapsed'
 */
export function readOutcome (outcome: string): RunOutcome | 'unknown' {
  return isRunOutcome(outcome) ? outcome : 'unknown'
}

/** Report of a run's outcome, sent until the entry acknowledges it. */
export const RunReport = Schema.Struct({
  /** Rises by 1 with each report to one incarnation of an entry. */
  sequence: Count,
  task: Schema.String,
  run: Count,
  /** A `RunOutcome`, or one of a later build. Whatever it is, the run is over. */
  outcome: Schema.String,
  reason: Schema.String,
  /** Time from the start order to the end of the run; 0 if it was never ordered. */
  milliseconds: Amount,
  /**
   * Time for which the next instance of the upstream may yet carry out a start order of the task, so that no other
   * upstream may get it; absent if none is open.
   */
  openOrderMilliseconds: Schema.optionalKey(Quantity)
})
export type RunReport = typeof RunReport.Type

/** Runs of one entry, by task and run number. */
const RunsOfEntry = Schema.Array(Schema.Struct({ task: Schema.String, run: Count }))

/** Asks for changes; answered as soon as there are any, or after the wait. Renews the entry's lease. */
export const Watch = Schema.Struct({
  caller: CallingEntry,
  /** Sequence number up to which the agent drops reports. */
  acknowledged: Count,
  /** Version of the profile that the entry has; 0 for none. */
  profileVersion: Count,
  waitMilliseconds: Amount,
  /** Runs to stop of which no stop call was answered: a watch renews the lease of them all. Absent for none. */
  stops: Schema.optionalKey(RunsOfEntry)
})
export type Watch = typeof Watch.Type

/** Fields common to all answers of an agent. */
const AGENT_STATE = {
  /** Differs at each start of the agent. */
  incarnation: Schema.String,
  /** Agent's steady clock, in milliseconds. */
  clock: SteadyTime,
  /** Whether no run of an earlier incarnation of the agent is left. */
  cleared: Schema.Boolean,
  /** Absent if the entry has the current version. */
  profile: Schema.optionalKey(UpstreamProfile),
  /** The evacuated failure domains; absent unless the agent knows them at a later position than the entry. */
  evacuations: Schema.optionalKey(EvacuationState),
  /**
   * Runs of the calling entry that have started and of which no start order is open, until the entry has received an
   * answer that names them; absent without any, and from builds before they were told. An order of any other run may
   * still be carried out when the agent is gone.
   */
  confirmed: Schema.optionalKey(RunsOfEntry),
  room: UpstreamLoad
}

export const WatchAnswer = Schema.Struct({ ...AGENT_STATE, reports: Schema.Array(RunReport) })
export type WatchAnswer = typeof WatchAnswer.Type

/** Order to start one task. */
export const RunOrder = Schema.Struct({
  task: Schema.String,
  run: Count,
  size: Size,
  /** Label that the upstream must have; absent for none, and from builds that do not state it. */
  label: Schema.optionalKey(Schema.String),
  /** Expected run time on an upstream of ordinary speed, in milliseconds. */
  estimateMilliseconds: Amount,
  /** Factor on that time for a task away from the rack of its data; absent near it. */
  awayFactor: Schema.optionalKey(Amount),
  /** Number of upstreams that crashed under the task, of which no other task is the known cause; absent for none. */
  crashCount: Schema.optionalKey(Count)
})
export type RunOrder = typeof RunOrder.Type

/** Starts tasks of one job. Idempotent. */
export const Start = Schema.Struct({
  caller: CallingEntry,
  /**
   * Service that the upstream must belong to: the upstream that was planned with may have been replaced by one of
   * another service at its address. Absent from builds that do not state it.
   */
  service: Schema.optionalKey(Schema.String),
  specification: Schema.String,
  /** 0 is the highest priority. */
  priority: Amount,
  /** Maximum wait of the tasks for free capacity; 0 for none. */
  patienceMilliseconds: Amount,
  /** Whether none is accepted unless all are expected to start within the maximum wait; false where absent. */
  isWhole: Schema.optionalKey(Schema.Boolean),
  /** Name of the job's route; absent from an entry that does not learn run times. */
  route: Schema.optionalKey(Schema.String),
  /** Factor on the estimates of the orders that the entry has learned for the route; 1 if absent. */
  estimateFactor: Schema.optionalKey(Amount),
  /** What an earlier incarnation of the agent told of the upstream, while the current one knows less. */
  remembered: Schema.optionalKey(RememberedRunTimes),
  orders: Schema.Array(RunOrder)
})
export type Start = typeof Start.Type

/**
 * An agent's decision on one order. `unsuitable`: the upstream does not meet a requirement of the order, and the answer
 * has the upstream's profile. No start call without `service` is answered so: its build does not know the verdict.
 */
export const Verdict = Schema.Literals([
  'accepted', 'stale', 'not-accepting', 'unsuitable', 'no-room', 'busy', 'stopped'
])
export type Verdict = typeof Verdict.Type
const isVerdict = Schema.is(Verdict)

/**
 * Returns a verdict, or `unknown` for one of a later build.
 *
 * @example
 * readVerdict('no-room') // 'no-room'
 */
export function readVerdict (verdict: string): Verdict | 'unknown' {
  return isVerdict(verdict) ? verdict : 'unknown'
}

export const StartAnswer = Schema.Struct({
  ...AGENT_STATE,
  /** One for each order, in the same sequence: a `Verdict`, or one of a later build. */
  verdicts: Schema.Array(Schema.String)
})
export type StartAnswer = typeof StartAnswer.Type

/** Stops runs and cancels orders; the outcomes follow as reports. */
export const Stop = Schema.Struct({
  caller: CallingEntry,
  runs: RunsOfEntry,
  /** Whether runs that have been ordered at the upstream go on; false where absent. */
  isOnlyWaiting: Schema.optionalKey(Schema.Boolean)
})
export type Stop = typeof Stop.Type

export const StopAnswer = Schema.Struct({ ...AGENT_STATE })
export type StopAnswer = typeof StopAnswer.Type
