/**
 * Start orders without an answer. Unlike its leases, such an order outlives the upstream's instance and the agent: the
 * next instance under the same id has seen neither a fencing token nor a stop, and its clock begins anew, so it accepts
 * the order until an agent has raised the fencing token there.
 */
import { Schema } from 'effect'
import { LEASE_MARGIN_MILLISECONDS } from './lease-lengths.js'
import { Quantity, SteadyTime } from './wire-values.js'

/** Longest delay with which an upstream carries out an order without an answer. */
const MAXIMUM_ORDER_DELAY_MILLISECONDS = 12_000
/**
 * Longest real lease of a run that such an order starts. It names a time on the clock of the former instance, so the
 * next one may grant its maximum of 1 s; its clock may be 2 % slow.
 */
const MAXIMUM_LATE_LEASE_MILLISECONDS = 1_000 * 1.02

/** Age of an order without an answer from which nothing of it runs, although no agent has stopped it. */
export const LATE_ORDER_MILLISECONDS =
  MAXIMUM_ORDER_DELAY_MILLISECONDS + MAXIMUM_LATE_LEASE_MILLISECONDS + LEASE_MARGIN_MILLISECONDS

/** Tasks with such orders at one upstream. */
export const OpenOrders = Schema.Array(Schema.Struct({
  task: Schema.String,
  /** Time from which nothing of them runs, on the clock that answers carry, in milliseconds. */
  until: SteadyTime
}))
export type OpenOrders = typeof OpenOrders.Type

/** A task with such an order, and the incarnation of the agent that sent it. */
const ORDER_OF_AGENT = { task: Schema.String, agent: Schema.String, incarnation: Schema.String }

/** Such orders of other agents, as an agent keeps them for entries that have not known of them. */
export const KeptOrders = Schema.Array(Schema.Struct({
  ...ORDER_OF_AGENT,
  /** Time from which nothing of it runs, on the clock that answers carry, in milliseconds. */
  until: SteadyTime
}))
export type KeptOrders = typeof KeptOrders.Type

/** Tells an agent open orders of an agent that does not answer, which it keeps for all entries. */
export const TellOpenOrders = Schema.Struct({
  orders: Schema.Array(Schema.Struct({
    ...ORDER_OF_AGENT,
    /** Time until nothing of it runs, in milliseconds. */
    milliseconds: Quantity
  }))
})
export type TellOpenOrders = typeof TellOpenOrders.Type

export const TellOpenOrdersAnswer = Schema.Struct({})
export type TellOpenOrdersAnswer = typeof TellOpenOrdersAnswer.Type
