/** Names of the registers, and the schema of the value for each kind of register. */
import { AgentIdentity, EntryIdentity, Name } from '@baobabpost/common'
import { Schema } from 'effect'
import { BurnBucket } from './burn.js'
import { JsonRecord, Milliseconds, NonNegativeInt } from './json.js'

/** Register `template/NAME`: how tasks of one type are run. */
export const Template = Schema.Struct({
  name: Name,
  /** Service whose upstreams run the task. */
  service: Name,
  /** Path of the HTTP request to the upstream. */
  path: Schema.String.check(Schema.isPattern(/^\/[\x21-\x7e]{0,200}$/)),
  /** Whether a single call may safely be repeated. */
  callType: Schema.Literals(['idempotent', 'non-idempotent']),
  /** Parameters that the input of a task may contain; a task with any other parameter is refused. */
  taskParameters: Schema.Array(Name),
  /** Parameters that must be present once defaults, customer parameters and input are merged. */
  requiredParameters: Schema.Array(Name),
  /** Default parameter values, the same for every customer. */
  defaults: JsonRecord,
  /** Maximum time to wait for the upstream's answer. */
  timeoutMilliseconds: Milliseconds,
  /** Expected run time, used until run times have been observed. */
  expectedMilliseconds: Milliseconds
})
export type Template = typeof Template.Type

/** Register `customer/NAME`. */
export const Customer = Schema.Struct({
  name: Name,
  team: Name,
  /** Weight of the customer within its team. */
  share: Schema.Finite.check(Schema.isGreaterThan(0)),
  /** Maximum number of tasks of the customer that may wait at one entry. */
  maximumQueuedTasks: NonNegativeInt,
  /** Parameters by template name; override the template's defaults. */
  parameters: Schema.Record(Schema.String, JsonRecord)
})
export type Customer = typeof Customer.Type

/** Register `team/NAME`: a group of customers with a quota. */
export const Team = Schema.Struct({
  name: Name,
  /** Weight of the team among all teams. */
  share: Schema.Finite.check(Schema.isGreaterThan(0)),
  /** Maximum number of tasks of the team that may wait at one entry. */
  maximumQueuedTasks: NonNegativeInt
})
export type Team = typeof Team.Type

/** Register `policy/NAME`: settings for placement, reserved capacity, retries and hedging in a deployment. */
export const Policy = Schema.Struct({
  name: Name,
  placement: Schema.Literals(['late-binding', 'two-choices', 'round-robin']),
  /** Number of tasks beyond its slots that an agent accepts in advance. */
  prefetchTasks: NonNegativeInt,
  /**
   * Number of slots that jobs leave free at an agent for each urgent task that runs there on average. A higher value
   * shortens the response time of urgent tasks; 0 gives the highest throughput of jobs.
   */
  urgentReserve: Schema.optionalKey(Schema.Finite.check(Schema.isBetween({ minimum: 0, maximum: 8 }))),
  /** Limit of retries and hedges of single calls, as a share of successful calls. */
  retryShare: Schema.Finite.check(Schema.isBetween({ minimum: 0, maximum: 1 })),
  /** Whether single calls that do not say whether they are idempotent may be hedged. */
  hedge: Schema.Boolean
})
export type Policy = typeof Policy.Type

/** Register `objective/NAME`: a service-level objective. */
export const Objective = Schema.Struct({
  name: Name,
  service: Name,
  /** A customer, or `*` for all. */
  customer: Schema.String,
  /** `response`: share answered within `boundMilliseconds`. `whole`: share answered completely. */
  indicator: Schema.Literals(['response', 'whole']),
  boundMilliseconds: Milliseconds,
  /** Required share of good answers, such as 0.99. */
  target: Schema.Finite.check(Schema.isBetween({ minimum: 0, maximum: 1 }))
})
export type Objective = typeof Objective.Type

/** Register `drain/NAME`: the agent with this name gets no new work while the register exists. */
export const Drain = Schema.Struct({ name: Name, reason: Schema.String.check(Schema.isMaxLength(200)) })
export type Drain = typeof Drain.Type

/** Register `evacuation/DOMAIN`: no agent in this failure domain gets or starts new work while the register exists. */
export const Evacuation = Schema.Struct({ name: Name, reason: Schema.String.check(Schema.isMaxLength(200)) })
export type Evacuation = typeof Evacuation.Type

/** Register `partition/NUMBER`: the owner of a partition of submission keys; the version is the epoch. */
export const PartitionOwner = Schema.Struct({
  owner: EntryIdentity,
  /** The previous owner, if it released the partition itself; it then sends `handover`. */
  handedOverBy: Schema.optionalKey(EntryIdentity)
})
export type PartitionOwner = typeof PartitionOwner.Type

/** Times for which the owner of a partition may act after its ownership was last confirmed. */
export const OwnerLeases = Schema.Struct({
  /** Time for which it may dispatch. */
  ownerMilliseconds: Milliseconds,
  /** Time for which it may declare tasks as not run. */
  notRunMilliseconds: Milliseconds
})
export type OwnerLeases = typeof OwnerLeases.Type

/** Register `entry/IDENTITY`: an entry of the fleet. */
export const EntryRegistration = Schema.Struct({
  identity: EntryIdentity,
  address: Schema.String,
  failureDomain: Name,
  /** An `OwnerLeases`, absent from earlier builds. Decoded by itself, so that an odd one does not hide the entry. */
  leases: Schema.optionalKey(Schema.Unknown)
})
export type EntryRegistration = typeof EntryRegistration.Type

/** Register `agent/IDENTITY`: an agent that may get keyed work (`joined`) or no longer does (`departed`). */
export const AgentRegistration = Schema.Struct({
  identity: AgentIdentity,
  address: Schema.String,
  service: Name,
  failureDomain: Name,
  state: Schema.Literals(['joined', 'departed']),
  /** Time of the last change of state, Unix milliseconds. */
  changedAt: Milliseconds,
  /** Whether the agent announced before it departed that it starts no more tasks. */
  clean: Schema.Boolean
})
export type AgentRegistration = typeof AgentRegistration.Type

/** Schema of the value for each kind of register; the kind is the part of the register's name before the slash. */
export const REGISTER_SCHEMAS = {
  template: Template,
  customer: Customer,
  team: Team,
  policy: Policy,
  objective: Objective,
  drain: Drain,
  evacuation: Evacuation,
  burn: BurnBucket,
  partition: PartitionOwner,
  entry: EntryRegistration,
  agent: AgentRegistration
} as const

export type RegisterKind = keyof typeof REGISTER_SCHEMAS

/**
 * Returns the names of the registers under which an agent must start nothing while they have a value. The drain is
 * recorded under the agent's name, so it outlasts a restart of the agent.
 *
 * @example
 * agentRegisterNames(identity, 'dakar-1') // { drain: 'drain/agent-7', evacuation: 'evacuation/dakar-1' }
 */
export function agentRegisterNames (
  identity: AgentIdentity, failureDomain: string
): { readonly drain: string, readonly evacuation: string } {
  const name = identity.slice(0, identity.lastIndexOf('@'))
  return { drain: registerName('drain', name), evacuation: registerName('evacuation', failureDomain) }
}

/**
 * Builds the name of a register.
 *
 * @example
 * registerName('template', 'lending') // 'template/lending'
 */
export function registerName (kind: RegisterKind, name: string | number): string {
  return `${kind}/${name}`
}
