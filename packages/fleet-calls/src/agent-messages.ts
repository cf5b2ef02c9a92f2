/** Schemas of the calls that entries make to agents. */
import { Schema } from 'effect'
import { Size } from './size.js'

/** The entry that calls, and the newest agent time that it has seen. */
export const CallingEntry = Schema.Struct({
  /** Name of the entry, the same after a restart. */
  entry: Schema.String,
  /** New at each start of the entry. */
  incarnation: Schema.String,
  /** Agent's steady clock in the newest answer that the entry received, in milliseconds; 0 before the first. */
  heardAt: Schema.Number
})
export type CallingEntry = typeof CallingEntry.Type

/** What an upstream is; changes rarely. */
export const UpstreamProfile = Schema.Struct({
  /** Rises with each change, within one incarnation of the agent. */
  version: Schema.Number,
  service: Schema.String,
  failureDomain: Schema.String,
  capacity: Size,
  labels: Schema.Array(Schema.String),
  /** Whether new runs may start here. */
  accepting: Schema.Boolean
})
export type UpstreamProfile = typeof UpstreamProfile.Type

/** What an upstream has left, and how it has done lately. */
export const UpstreamLoad = Schema.Struct({
  /** Capacity less what runs, ends or may yet start. */
  free: Size,
  /** Processor (thousandths of a core) of the tasks that wait here, by priority. */
  waiting: Schema.Array(Schema.Number),
  /** Processor (thousandths of a core) that ends free in a millisecond, at the recent rate. */
  releaseRate: Schema.Number,
  /** Run time over estimate, as a moving mean. */
  slowness: Schema.Number,
  /** Share of the recent runs that failed, 0 to 1. */
  failureShare: Schema.Number
})
export type UpstreamLoad = typeof UpstreamLoad.Type

/** How a run, or an order for one, ended; `superseded` where another entry has the same job now. */
export const RunOutcome = Schema.Literals(['done', 'failed', 'stopped', 'lapsed', 'lost', 'not-started', 'superseded'])
export type RunOutcome = typeof RunOutcome.Type

/** The end of one run. */
export const RunReport = Schema.Struct({
  /** Rises by 1 with each report to one incarnation of an entry. */
  sequence: Schema.Number,
  task: Schema.String,
  run: Schema.Number,
  outcome: RunOutcome,
  reason: Schema.String,
  /** From the start to the end at the upstream. */
  milliseconds: Schema.Number
})
export type RunReport = typeof RunReport.Type

/** Asks for what has changed; answered when something has, or after the wait. Renews the entry's lease. */
export const Watch = Schema.Struct({
  caller: CallingEntry,
  /** Reports up to this one are forgotten. */
  acknowledged: Schema.Number,
  /** Version of the profile that the entry has; 0 for none. */
  profileVersion: Schema.Number,
  waitMilliseconds: Schema.Number
})
export type Watch = typeof Watch.Type

/** Head of each answer of an agent. */
const AGENT_STATE = {
  /** New at each start of the agent. */
  incarnation: Schema.String,
  /** Agent's steady clock, in milliseconds. */
  clock: Schema.Number,
  /** Whether nothing that an earlier incarnation of the agent started runs any more. */
  cleared: Schema.Boolean,
  /** Left out if the entry has this version. */
  profile: Schema.optionalKey(UpstreamProfile),
  room: UpstreamLoad
}

export const WatchAnswer = Schema.Struct({ ...AGENT_STATE, reports: Schema.Array(RunReport) })
export type WatchAnswer = typeof WatchAnswer.Type

/** A task to be started. */
export const RunOrder = Schema.Struct({
  task: Schema.String,
  run: Schema.Number,
  size: Size,
  /** Expected run time on an upstream of ordinary speed, in milliseconds. */
  estimateMilliseconds: Schema.Number
})
export type RunOrder = typeof RunOrder.Type

/** Starts tasks of one job. Repeating it does no harm. */
export const Start = Schema.Struct({
  caller: CallingEntry,
  specification: Schema.String,
  /** 0 goes first. */
  priority: Schema.Number,
  /** Time for which the tasks may wait here for room. */
  patienceMilliseconds: Schema.Number,
  orders: Schema.Array(RunOrder)
})
export type Start = typeof Start.Type

/** What an agent says to one order. */
export const Verdict = Schema.Literals(['accepted', 'stale', 'not-accepting', 'no-room', 'busy', 'stopped'])
export type Verdict = typeof Verdict.Type

export const StartAnswer = Schema.Struct({
  ...AGENT_STATE,
  /** One for each order, in order. */
  verdicts: Schema.Array(Verdict)
})
export type StartAnswer = typeof StartAnswer.Type

/** Stops runs, or takes back orders; ends come as reports. */
export const Stop = Schema.Struct({
  caller: CallingEntry,
  runs: Schema.Array(Schema.Struct({ task: Schema.String, run: Schema.Number }))
})
export type Stop = typeof Stop.Type

export const StopAnswer = Schema.Struct({ ...AGENT_STATE })
export type StopAnswer = typeof StopAnswer.Type
