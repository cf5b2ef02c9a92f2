/**
 * Bodies of the operators' HTTP interface of an entry.
 *
 * | route | answer |
 * |---|---|
 * | `GET /v1/fleet` | `FleetStatus` |
 * | `GET /v1/configuration?kind=KIND` | `ConfigurationList`; every kind where `kind` is absent |
 * | `GET /v1/configuration/KIND/NAME` | `ConfigurationRegister` |
 * | `PUT /v1/configuration/KIND/NAME` | body `ConfigurationChange`, answer `ConfigurationAccepted` |
 * | `GET /v1/configuration/KIND/NAME/history` | `ConfigurationHistory` |
 * | `GET /v1/configuration-status` | `ConfigurationStatus` |
 * | `POST /v1/upstreams/AGENT/drain` | `DrainAccepted` |
 * | `GET /v1/submissions/KEY/explanation` | `Explanation` |
 * | `GET /v1/report/burn` | `BurnReport` |
 *
 * Every error answer is a `Problem`.
 */
import { AgentIdentity, EntryIdentity, Name, SubmissionKey } from '@baobabpost/common'
import { Schema } from 'effect'
import { BudgetConsumer } from './burn.js'
import { Milliseconds, NonNegativeInt } from './json.js'

/** An entry as the answering entry sees it. */
export const FleetEntry = Schema.Struct({
  identity: EntryIdentity,
  address: Schema.String,
  failureDomain: Name,
  state: Schema.Literals(['ready', 'stopping', 'silent']),
  /** Log offset up to which it had applied records when it was last heard. */
  position: NonNegativeInt,
  /** Unix time of its last answered heartbeat, where there was one. */
  heardAt: Schema.optionalKey(Milliseconds),
  partitionsOwned: NonNegativeInt
})
export type FleetEntry = typeof FleetEntry.Type

/** What an entry may do with an agent. Only a `usable` one gets new work. */
export const AGENT_STATUSES = ['usable', 'pending', 'suspected', 'leaving', 'ejected', 'departed'] as const
export const AgentStatus = Schema.Literals(AGENT_STATUSES)
export type AgentStatus = typeof AgentStatus.Type

/** An agent as the answering entry sees it. */
export const FleetAgent = Schema.Struct({
  identity: AgentIdentity,
  address: Schema.String,
  service: Name,
  failureDomain: Name,
  standing: AgentStatus,
  /** Why it has this standing, where it isn't `usable`. */
  reason: Schema.optionalKey(Schema.String),
  slots: NonNegativeInt,
  /** Unfinished tasks that it accepts from the answering entry. */
  window: NonNegativeInt,
  /** Unfinished tasks of the answering entry. */
  unfinished: NonNegativeInt,
  /** Learned speed against the mean of its service: 2 is twice as fast; absent until observed. */
  speed: Schema.optionalKey(Schema.Finite)
})
export type FleetAgent = typeof FleetAgent.Type

/** Tasks that wait for one service. */
export const QueueLength = Schema.Struct({ service: Name, tasks: NonNegativeInt })
export type QueueLength = typeof QueueLength.Type

/** Answer of `GET /v1/fleet`: the fleet as one entry sees it. */
export const FleetStatus = Schema.Struct({
  identity: EntryIdentity,
  address: Schema.String,
  failureDomain: Name,
  state: Schema.Literals(['starting', 'ready', 'stopping']),
  version: Schema.String,
  /** Unix time of the answer. */
  at: Milliseconds,
  startedAt: Milliseconds,
  /** Log offset up to which records are applied. */
  position: NonNegativeInt,
  /** Records of the log not yet applied, where the end of the log is known. */
  behind: Schema.optionalKey(NonNegativeInt),
  /** Time since the platform's log last answered. */
  logSilentMilliseconds: Milliseconds,
  partitionsOwned: NonNegativeInt,
  /** Partitions whose takeover is not finished. */
  partitionsCollecting: NonNegativeInt,
  submissionsRunning: NonNegativeInt,
  callsPending: NonNegativeInt,
  invariantViolations: NonNegativeInt,
  queues: Schema.Array(QueueLength),
  entries: Schema.Array(FleetEntry),
  agents: Schema.Array(FleetAgent)
})
export type FleetStatus = typeof FleetStatus.Type

/** A register with its version and value. */
export const ConfigurationRegister = Schema.Struct({
  register: Schema.String,
  version: NonNegativeInt,
  value: Schema.Unknown
})
export type ConfigurationRegister = typeof ConfigurationRegister.Type

/** Answer of `GET /v1/configuration`. */
export const ConfigurationList = Schema.Struct({ registers: Schema.Array(ConfigurationRegister) })
export type ConfigurationList = typeof ConfigurationList.Type

/** Body of a publish: the version that it was decided on, and the new value; `null` removes the register. */
export const ConfigurationChange = Schema.Struct({ replaces: NonNegativeInt, value: Schema.Unknown })
export type ConfigurationChange = typeof ConfigurationChange.Type

/** Answer of a publish that took effect: the new version. */
export const ConfigurationAccepted = Schema.Struct({ register: Schema.String, version: NonNegativeInt })
export type ConfigurationAccepted = typeof ConfigurationAccepted.Type

/** One earlier or present value of a register. */
export const ConfigurationVersion = Schema.Struct({
  version: NonNegativeInt,
  value: Schema.Unknown,
  /** Author of the record, where the record is still on the log. */
  author: Schema.optionalKey(Schema.String),
  /** Unix time at which the answering entry applied it, where it did so itself. */
  appliedAt: Schema.optionalKey(Milliseconds)
})
export type ConfigurationVersion = typeof ConfigurationVersion.Type

/** Answer of `GET /v1/configuration/KIND/NAME/history`, newest first. */
export const ConfigurationHistory = Schema.Struct({
  register: Schema.String,
  versions: Schema.Array(ConfigurationVersion),
  /** Whether older versions have fallen out of the log's retention or of the entry's memory. */
  truncated: Schema.Boolean
})
export type ConfigurationHistory = typeof ConfigurationHistory.Type

/** How far one process has applied configuration. */
export const ProcessConfiguration = Schema.Struct({
  identity: Schema.String,
  role: Schema.Literals(['entry', 'agent']),
  /** Log offset up to which it has applied configuration. */
  position: NonNegativeInt,
  /** Records by which it is behind the answering entry; 0 where it is ahead. */
  behind: NonNegativeInt,
  /** Where its configuration comes from at present. */
  source: Schema.Literals(['log', 'peer', 'none']),
  /** Unix time since when it has this position, as the answering entry saw it. */
  since: Milliseconds
})
export type ProcessConfiguration = typeof ProcessConfiguration.Type

/** Answer of `GET /v1/configuration-status`. */
export const ConfigurationStatus = Schema.Struct({
  /** Log offset up to which the answering entry has applied records. */
  position: NonNegativeInt,
  /** Time since the platform's log last answered. */
  logSilentMilliseconds: Milliseconds,
  processes: Schema.Array(ProcessConfiguration)
})
export type ConfigurationStatus = typeof ConfigurationStatus.Type

/** Answer of `POST /v1/upstreams/AGENT/drain`: the answering entry sends it nothing new from now on. */
export const DrainAccepted = Schema.Struct({ agent: AgentIdentity, standing: AgentStatus, unfinished: NonNegativeInt })
export type DrainAccepted = typeof DrainAccepted.Type

/** One step in the life of a submission. */
export const ExplanationStep = Schema.Struct({
  /** Unix time. */
  at: Milliseconds,
  /** Entry at which it happened. */
  entry: EntryIdentity,
  event: Schema.String,
  /** One sentence with the reason. */
  detail: Schema.String,
  agent: Schema.optionalKey(AgentIdentity),
  /** Number of tasks that the step is about. */
  count: Schema.optionalKey(NonNegativeInt)
})
export type ExplanationStep = typeof ExplanationStep.Type

/** Answer of `GET /v1/submissions/KEY/explanation`, in order of time. */
export const Explanation = Schema.Struct({
  submission: SubmissionKey,
  steps: Schema.Array(ExplanationStep),
  /** Whether steps are missing: the list is bounded, and a takeover loses the steps of the entry before. */
  truncated: Schema.Boolean
})
export type Explanation = typeof Explanation.Type

/** Burn of one objective over one window. */
export const BurnWindow = Schema.Struct({
  lengthMilliseconds: Milliseconds,
  good: NonNegativeInt,
  bad: NonNegativeInt,
  /** Share of bad answers divided by the share that the objective allows; absent where nothing was counted. */
  burnRate: Schema.optionalKey(Schema.Finite),
  /** Share of the window, 0 to 1, for which buckets are known; the rest is a gap. */
  coverage: Schema.Finite
})
export type BurnWindow = typeof BurnWindow.Type

/** Windows that are judged together: the alarm is on while all of them burn at the threshold or faster. */
export const BurnAlarm = Schema.Struct({
  name: Schema.Literals(['fast', 'slow', 'budget']),
  threshold: Schema.Finite,
  windows: Schema.Array(BurnWindow),
  firing: Schema.Boolean
})
export type BurnAlarm = typeof BurnAlarm.Type

/** One point of the chart of an objective; without counts it is a gap. */
export const BurnPoint = Schema.Struct({
  start: Milliseconds,
  lengthMilliseconds: Milliseconds,
  good: Schema.optionalKey(NonNegativeInt),
  bad: Schema.optionalKey(NonNegativeInt),
  coverage: Schema.Finite
})
export type BurnPoint = typeof BurnPoint.Type

/** Response times of an objective over the budget period. */
export const ResponseSummary = Schema.Struct({
  count: NonNegativeInt,
  p50Milliseconds: Schema.Finite,
  p90Milliseconds: Schema.Finite,
  p99Milliseconds: Schema.Finite,
  maximumMilliseconds: Schema.Finite
})
export type ResponseSummary = typeof ResponseSummary.Type

/** Burn of one objective. */
export const ObjectiveBurn = Schema.Struct({
  objective: Name,
  service: Name,
  customer: Schema.String,
  indicator: Schema.Literals(['response', 'whole']),
  boundMilliseconds: Milliseconds,
  target: Schema.Finite,
  alarms: Schema.Array(BurnAlarm),
  /** Share of the error budget of the period that is left; below 0 where it is overspent. */
  budgetLeft: Schema.optionalKey(Schema.Finite),
  spenders: Schema.Array(BudgetConsumer),
  response: Schema.optionalKey(ResponseSummary),
  points: Schema.Array(BurnPoint)
})
export type ObjectiveBurn = typeof ObjectiveBurn.Type

/** Answer of `GET /v1/report/burn`. */
export const BurnReport = Schema.Struct({
  /** Unix time of the report. */
  at: Milliseconds,
  /** Length of the period that the error budget is for. */
  periodMilliseconds: Milliseconds,
  /** Entries whose buckets are in the report. */
  entries: Schema.Array(EntryIdentity),
  objectives: Schema.Array(ObjectiveBurn)
})
export type BurnReport = typeof BurnReport.Type
