/** Faults that can be injected into the stand-in while it runs. */
import { Schema } from 'effect'

const BoundedInteger = Schema.Int.check(Schema.isBetween({ minimum: 0, maximum: 3_600_000 }))

/** The active faults. `POST /fault` accepts any subset of the fields; absent fields keep their values. */
export const Faults = Schema.Struct({
  /** `refuse` answers every request except `POST /fault` with 503; `hang` answers none of them. */
  outage: Schema.Literals(['none', 'refuse', 'hang']),
  /** Delay of an append until it takes effect and is acknowledged. */
  appendMilliseconds: BoundedInteger,
  /** Delay added to each read. */
  readMilliseconds: BoundedInteger,
  /** Number of upcoming appends that take effect but whose connection is closed without an answer. */
  loseAcknowledgements: BoundedInteger,
  /** Number of upcoming appends whose connection is closed before they take effect. */
  loseAppends: BoundedInteger,
  /** Maximum appends per second; further appends are answered with 429. */
  maximumAppendsPerSecond: Schema.Int.check(Schema.isBetween({ minimum: 1, maximum: 1_000_000 }))
})
export type Faults = typeof Faults.Type

/** Body of `POST /fault`: the faults to change. */
export const FaultChange = Schema.Struct({
  outage: Schema.optionalKey(Faults.fields.outage),
  appendMilliseconds: Schema.optionalKey(Faults.fields.appendMilliseconds),
  readMilliseconds: Schema.optionalKey(Faults.fields.readMilliseconds),
  loseAcknowledgements: Schema.optionalKey(Faults.fields.loseAcknowledgements),
  loseAppends: Schema.optionalKey(Faults.fields.loseAppends),
  maximumAppendsPerSecond: Schema.optionalKey(Faults.fields.maximumAppendsPerSecond),
  /** Drops all records below this offset once; not kept as an active fault. */
  truncateBelow: Schema.optionalKey(Schema.Int.check(Schema.isBetween({ minimum: 1, maximum: 2 ** 40 })))
})
export type FaultChange = typeof FaultChange.Type
