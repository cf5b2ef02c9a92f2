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
 * | `GET /v1/domains` | `DomainList` |
 * | `POST /v1/domains/DOMAIN/evacuate` | `FailureDomain` |
 * | `POST /v1/domains/DOMAIN/restore` | `FailureDomain` |
 * | `GET /v1/submissions/KEY/explanation` | `Explanation` |
 * | `GET /v1/report/burn` | `BurnReport` |
 *
 * Every error answer is a `Problem`.
 */
import { AgentIdentity, EntryIdentity, Name, SubmissionKey } from '@baobabpost/common'
import { Schema } from 'effect'
import { BudgetConsumer } from './burn.js'
import { Milliseconds, NonNegativeInt } from './json.js'

/** An entry, as known to the entry that answers. */
export const FleetEntry = Schema.Struct({
  identity: EntryIdentity,
  address: Schema.String,
  failureDomain: Name,
  state: Schema.Literals(['ready', 'stopping', 'silent']),
  /** Log offset up to which it had applied records at its last contact. */
  position: NonNegativeInt,
  /** Unix time of its last answered heartbeat; absent if there was none. */
  heardAt: Schema.optionalKey(Milliseconds),
  partitionsOwned: NonNegativeInt
})
export type FleetEntry = typeof FleetEntry.Type

/** Status of an agent at one entry. Only a `usable` agent gets new work. */
export const AGENT_STATUSES = ['usable', 'pending', 'suspected', 'leaving', 'ejected', 'departed'] as const
export const AgentStatus = Schema.Literals(AGENT_STATUSES)
export type AgentStatus = typeof AgentStatus.Type

/** An agent, as known to the entry that answers. */
export const FleetAgent = Schema.Struct({
  identity: AgentIdentity,
  address: Schema.String,
  service: Name,
  failureDomain: Name,
  standing: AgentStatus,
  /** Reason for the status; absent if the agent is `usable`. */
  reason: Schema.optionalKey(Schema.String),
  slots: NonNegativeInt,
  /** Number of unfinished tasks that the agent accepts from the answering entry. */
  window: NonNegativeInt,
  /** Number of unfinished tasks that the answering entry has at the agent. */
  unfinished: NonNegativeInt,
  /** Observed speed relative to the mean of its service: 2 is twice as fast; absent until observed. */
  speed: Schema.optionalKey(Schema.Finite)
})
export type FleetAgent = typeof FleetAgent.Type

/** Number of tasks that are waiting for one service. */
export const QueueLength = Schema.Struct({ service: Name, tasks: NonNegativeInt })
export type QueueLength = typeof QueueLength.Type

/** Answer of `GET /v1/fleet`: the fleet as known to the answering entry. */
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
  /** Number of records of the log that are not applied yet; absent if the end of the log is unknown. */
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
  /** Evacuated failure domains; absent if the entry does not know of evacuations. */
  evacuatedDomains: Schema.optionalKey(Schema.Array(Name)),
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

/** Body of a publication: the version that it replaces and the new value; `null` removes the register. */
export const ConfigurationChange = Schema.Struct({ replaces: NonNegativeInt, value: Schema.Unknown })
export type ConfigurationChange = typeof ConfigurationChange.Type

/** Answer to a publication that took effect: the new version. */
export const ConfigurationAccepted = Schema.Struct({ register: Schema.String, version: NonNegativeInt })
export type ConfigurationAccepted = typeof ConfigurationAccepted.Type

/** A past or current value of a register. */
export const ConfigurationVersion = Schema.Struct({
  version: NonNegativeInt,
  value: Schema.Unknown,
  /** Author of the record; absent if the record is no longer on the log. */
  author: Schema.optionalKey(Schema.String),
  /** Unix time at which the answering entry applied it; absent if it did not apply the record itself. */
  appliedAt: Schema.optionalKey(Milliseconds)
})
export type ConfigurationVersion = typeof ConfigurationVersion.Type

/** Answer of `GET /v1/configuration/KIND/NAME/history`, newest first. */
export const ConfigurationHistory = Schema.Struct({
  register: Schema.String,
  versions: Schema.Array(ConfigurationVersion),
  /** Whether older versions are missing, because the log or the entry no longer keeps them. */
  truncated: Schema.Boolean
})
export type ConfigurationHistory = typeof ConfigurationHistory.Type

/** Progress of one process in applying configuration. */
export const ProcessConfiguration = Schema.Struct({
  identity: Schema.String,
  role: Schema.Literals(['entry', 'agent']),
  /** Log offset up to which it has applied configuration. */
  position: NonNegativeInt,
  /** Number of records by which it is behind the answering entry; 0 if it is ahead. */
  behind: NonNegativeInt,
  /** Current source of its configuration. */
  source: Schema.Literals(['log', 'peer', 'none']),
  /** Unix time since which it has had this position, as observed by the answering entry. */
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

/** Answer of `POST /v1/upstreams/AGENT/drain`: the answering entry sends the agent no new work from now on. */
export const DrainAccepted = Schema.Struct({ agent: AgentIdentity, standing: AgentStatus, unfinished: NonNegativeInt })
export type DrainAccepted = typeof DrainAccepted.Type

/** A failure domain, and how far its state is in force. */
export const FailureDomain = Schema.Struct({
  name: Name,
  evacuated: Schema.Boolean,
  /** Reason that the operator gave; absent if the domain is in service. */
  reason: Schema.optionalKey(Schema.String),
  /** Log offset of the last evacuation or restoration; 0 if there was none. */
  version: NonNegativeInt,
  /** Usable agents in the domain, and how many of them know this state. */
  agents: NonNegativeInt,
  agentsInformed: NonNegativeInt,
  /** Live entries of the fleet, and how many of them know this state. */
  entries: NonNegativeInt,
  entriesInformed: NonNegativeInt
})
export type FailureDomain = typeof FailureDomain.Type

/** Answer of `GET /v1/domains`, sorted by name. */
export const DomainList = Schema.Struct({ domains: Schema.Array(FailureDomain) })
export type DomainList = typeof DomainList.Type

/** One step in the processing of a submission. */
export const ExplanationStep = Schema.Struct({
  /** Unix time of the step. */
  at: Milliseconds,
  /** Entry at which the step took place. */
  entry: EntryIdentity,
  event: Schema.String,
  /** One sentence with the reason. */
  detail: Schema.String,
  agent: Schema.optionalKey(AgentIdentity),
  /** Number of tasks affected by the step. */
  count: Schema.optionalKey(NonNegativeInt)
})
export type ExplanationStep = typeof ExplanationStep.Type

/** Answer of `GET /v1/submissions/KEY/explanation`, with the steps in order of time. */
export const Explanation = Schema.Struct({
  submission: SubmissionKey,
  steps: Schema.Array(ExplanationStep),
  /** Whether steps are missing: the list is bounded, and a takeover loses the steps of the previous entry. */
  truncated: Schema.Boolean
})
export type Explanation = typeof Explanation.Type

/** Error budget burn of one objective over one time window. */
export const BurnWindow = Schema.Struct({
  lengthMilliseconds: Milliseconds,
  good: NonNegativeInt,
  bad: NonNegativeInt,
  /** Share of bad answers divided by the share that the objective allows; absent if no answers were counted. */
  burnRate: Schema.optionalKey(Schema.Finite),
  /** Share of the window, from 0 to 1, for which buckets are known. */
  coverage: Schema.Finite
})
export type BurnWindow = typeof BurnWindow.Type

/** A burn rate alarm; it fires while the burn rate of every window is at or above the threshold. */
export const BurnAlarm = Schema.Struct({
  name: Schema.Literals(['fast', 'slow', 'budget']),
  threshold: Schema.Finite,
  windows: Schema.Array(BurnWindow),
  firing: Schema.Boolean
})
export type BurnAlarm = typeof BurnAlarm.Type

/** One point in the chart of an objective; a point without counts is a gap in the data. */
export const BurnPoint = Schema.Struct({
  start: Milliseconds,
  lengthMilliseconds: Milliseconds,
  good: Schema.optionalKey(NonNegativeInt),
  bad: Schema.optionalKey(NonNegativeInt),
  coverage: Schema.Finite
})
export type BurnPoint = typeof BurnPoint.Type

/** Distribution of the response times of an objective over the budget period. */
export const ResponseSummary = Schema.Struct({
  count: NonNegativeInt,
  p50Milliseconds: Schema.Finite,
  p90Milliseconds: Schema.Finite,
  p99Milliseconds: Schema.Finite,
  maximumMilliseconds: Schema.Finite
})
export type ResponseSummary = typeof ResponseSummary.Type

/** Error budget burn of one objective: alarms, remaining budget, largest consumers and chart. */
export const ObjectiveBurn = Schema.Struct({
  objective: Name,
  service: Name,
  customer: Schema.String,
  indicator: Schema.Literals(['response', 'whole']),
  boundMilliseconds: Milliseconds,
  target: Schema.Finite,
  alarms: Schema.Array(BurnAlarm),
  /** Remaining share of the error budget of the period; negative if it is overspent; absent if unknown. */
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
  /** Length of the period that the error budget covers. */
  periodMilliseconds: Milliseconds,
  /** Entries whose buckets are in the report. */
  entries: Schema.Array(EntryIdentity),
  objectives: Schema.Array(ObjectiveBurn)
})
export type BurnReport = typeof BurnReport.Type
