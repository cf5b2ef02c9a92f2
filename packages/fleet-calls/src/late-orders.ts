/**
 * Start orders without an answer. Unlike its leases, such an order outlives the upstream's instance: the next one under
 * the same id has seen neither a fencing token nor a stop, and its clock begins anew, so it accepts the order until the
 * agent has raised the fencing token there.
 */
import { Schema } from 'effect'
import { LEASE_MARGIN_MILLISECONDS } from './lease-lengths.js'
import { SteadyTime } from './wire-values.js'

/** Longest delay with which an upstream carries out an order without an answer. */
const MAXIMUM_ORDER_DELAY_MILLISECONDS = 12_000
/**
 * Longest real lease of a run that such an order starts. Its time is one of the former instance's clock, so the next one
 * may grant its maximum of 1 s; its clock may be 2 % slow.
 */
const MAXIMUM_LATE_LEASE_MILLISECONDS = 1_000 * 1.02

/** Age of an order without an answer from which nothing of it runs, although no agent has stopped it. */
export const LATE_ORDER_MILLISECONDS =
  MAXIMUM_ORDER_DELAY_MILLISECONDS + MAXIMUM_LATE_LEASE_MILLISECONDS + LEASE_MARGIN_MILLISECONDS

/** Tasks with such orders at one upstream. */
export const OpenOrders = Schema.Array(Schema.Struct({
  task: Schema.String,
  /** Time from which none of them is expected to be carried out, on the clock that answers carry, in milliseconds. */
  until: SteadyTime
}))
export type OpenOrders = typeof OpenOrders.Type
