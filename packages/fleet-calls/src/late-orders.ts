/**
 * Start orders without an answer. Unlike its leases, such an order outlives the upstream's instance: the next one under
 * the same id has seen neither a fencing token nor a stop, and its clock begins anew, so it accepts the order until the
 * agent has raised the fencing token there.
 */
import { Schema } from 'effect'
import { SteadyTime } from './wire-values.js'

/** Age of an order without an answer from which it is not expected to be carried out: delays last up to seconds. */
export const LATE_ORDER_MILLISECONDS = 3_000

/** Tasks with such orders at one upstream. */
export const OpenOrders = Schema.Array(Schema.Struct({
  task: Schema.String,
  /** Time from which none of them is expected to be carried out, on the clock that answers carry, in milliseconds. */
  until: SteadyTime
}))
export type OpenOrders = typeof OpenOrders.Type
