/** Values of registers: one schema for each kind of register, and the names of the registers. */
import { AgentIdentity, EntryIdentity, Name } from '@baobabpost/common'
import { Schema } from 'effect'
import { BurnBucket } from './burn.js'
import { JsonRecord, Milliseconds, NonNegativeInt } from './json.js'

/** Register `template/NAME`: a kind of task. */
export const Template = Schema.Struct({
  name: Name,
  /** Service whose upstreams run the task. */
  service: Name,
  /** Path of the HTTP request to the upstream. */
  path: Schema.String.check(Schema.isPattern(/^\/[\x21-\x7e]{0,200}$/)),
  /** Whether a repetition of a single call does no harm. */
  callType: Schema.Literals(['idempotent', 'non-idempotent']),
  /** Parameters that a task may give; anything else is refused. */
  taskParameters: Schema.Array(Name),
  /** Parameters that must be there once all are merged. */
  requiredParameters: Schema.Array(Name),
  /** Parameters with their defaults, the same for every customer. */
  defaults: JsonRecord,
  /** Time after which the upstream's answer is given up. */
  timeoutMilliseconds: Milliseconds,
  /** Declared run time, used until run times were observed. */
  expectedMilliseconds: Milliseconds
})
export type Template = typeof Template.Type

/** Register `customer/NAME`. */
export const Customer = Schema.Struct({
  name: Name,
  team: Name,
  /** Weight of the customer within its team. */
  share: Schema.Finite.check(Schema.isGreaterThan(0)),
  /** Most tasks that may wait at one entry. */
  maximumQueuedTasks: NonNegativeInt,
  /** Parameters by template name, merged over the template's defaults. */
  parameters: Schema.Record(Schema.String, JsonRecord)
})
export type Customer = typeof Customer.Type

/** Register `team/NAME`: a holder of a quota. */
export const Team = Schema.Struct({
  name: Name,
  /** Weight of the team among all teams. */
  share: Schema.Finite.check(Schema.isGreaterThan(0)),
  /** Most tasks that may wait at one entry. */
  maximumQueuedTasks: NonNegativeInt
})
export type Team = typeof Team.Type

/** Register `policy/NAME`: the balance of a deployment. */
export const Policy = Schema.Struct({
  name: Name,
  placement: Schema.Literals(['late-binding', 'two-choices', 'round-robin']),
  /** Tasks beyond its slots that an agent accepts ahead. */
  prefetchTasks: NonNegativeInt,
  /**
   * Slots that jobs leave free at an agent for each urgent task that runs there on average. More favours the response
   * of urgent tasks, 0 the throughput of jobs.
   */
  urgentReserve: Schema.optionalKey(Schema.Finite.check(Schema.isBetween({ minimum: 0, maximum: 8 }))),
  /** Retries and hedges of single calls as a share of successes. */
  retryShare: Schema.Finite.check(Schema.isBetween({ minimum: 0, maximum: 1 })),
  /** Whether unmarked single calls may be hedged. */
  hedge: Schema.Boolean
})
export type Policy = typeof Policy.Type

/** Register `objective/NAME`: a service-level objective. */
export const Objective = Schema.Struct({
  name: Name,
  service: Name,
  /** A customer, or `*` for all. */
  customer: Schema.String,
  /** `response`: share answered within the bound. `whole`: share answered whole. */
  indicator: Schema.Literals(['response', 'whole']),
  boundMilliseconds: Milliseconds,
  /** Share of good answers that is promised, such as 0.99. */
  target: Schema.Finite.check(Schema.isBetween({ minimum: 0, maximum: 1 }))
})
export type Objective = typeof Objective.Type

/** Register `drain/NAME`: the agent of that name gets no new work while the register is there. */
export const Drain = Schema.Struct({ name: Name, reason: Schema.String.check(Schema.isMaxLength(200)) })
export type Drain = typeof Drain.Type

/** Register `partition/NUMBER`: the owner of a partition of submission keys; the version is the epoch. */
export const PartitionOwner = Schema.Struct({
  owner: EntryIdentity,
  /** Set by the previous owner when it gives the partition away itself; it then sends `handover`. */
  handedOverBy: Schema.optionalKey(EntryIdentity)
})
export type PartitionOwner = typeof PartitionOwner.Type

/** Register `entry/IDENTITY`: an entry of the fleet. */
export const EntryRegistration = Schema.Struct({
  identity: EntryIdentity,
  address: Schema.String,
  failureDomain: Name
})
export type EntryRegistration = typeof EntryRegistration.Type

/** Register `agent/IDENTITY`: an agent that keyed work may go to, or that departed at a Unix time. */
export const AgentRegistration = Schema.Struct({
  identity: AgentIdentity,
  address: Schema.String,
  service: Name,
  failureDomain: Name,
  state: Schema.Literals(['joined', 'departed']),
  /** Time of the last change of state, Unix milliseconds. */
  changedAt: Milliseconds,
  /** Whether the agent itself said, before it departed, that it starts nothing more. */
  clean: Schema.Boolean
})
export type AgentRegistration = typeof AgentRegistration.Type

/** Schema of the value of each kind of register, by the part of the name before the slash. */
export const REGISTER_SCHEMAS = {
  template: Template,
  customer: Customer,
  team: Team,
  policy: Policy,
  objective: Objective,
  drain: Drain,
  burn: BurnBucket,
  partition: PartitionOwner,
  entry: EntryRegistration,
  agent: AgentRegistration
} as const

/** Kind of a register. */
export type RegisterKind = keyof typeof REGISTER_SCHEMAS

/**
 * Writes the name of a register.
 *
 * @example
 * registerName('template', 'lending') // 'template/lending'
 */
export function registerName (kind: RegisterKind, name: string | number): string {
  return `${kind}/${name}`
}
