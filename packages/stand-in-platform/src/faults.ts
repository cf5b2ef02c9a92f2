/** Faults that can be put on the stand-in while it runs. */
import { Schema } from 'effect'

const Duration = Schema.Int.check(Schema.isBetween({ minimum: 0, maximum: 3_600_000 }))

/** The faults in force. `POST /fault` takes any part of this; what is absent stays as it is. */
export const Faults = Schema.Struct({
  /** `refuse` answers 503 to everything, `hang` answers nothing. */
  outage: Schema.Literals(['none', 'refuse', 'hang']),
  /** Time that an append takes until it is synced. */
  appendMilliseconds: Duration,
  /** Time that a read takes longer. */
  readMilliseconds: Duration,
  /** Number of next appends that take effect and whose connection is then cut. */
  loseAcknowledgements: Duration,
  /** Number of next appends that are cut before they take effect. */
  loseAppends: Duration,
  /** Appends a second; more are answered with 429. */
  maximumAppendsPerSecond: Schema.Int.check(Schema.isBetween({ minimum: 1, maximum: 1_000_000 }))
})
export type Faults = typeof Faults.Type

/** A change of the faults. */
export const FaultChange = Schema.Struct({
  outage: Schema.optionalKey(Faults.fields.outage),
  appendMilliseconds: Schema.optionalKey(Faults.fields.appendMilliseconds),
  readMilliseconds: Schema.optionalKey(Faults.fields.readMilliseconds),
  loseAcknowledgements: Schema.optionalKey(Faults.fields.loseAcknowledgements),
  loseAppends: Schema.optionalKey(Faults.fields.loseAppends),
  maximumAppendsPerSecond: Schema.optionalKey(Faults.fields.maximumAppendsPerSecond),
  /** Drops all records below this offset, once. */
  truncateBelow: Schema.optionalKey(Schema.Int.check(Schema.isBetween({ minimum: 1, maximum: 2 ** 40 })))
})
export type FaultChange = typeof FaultChange.Type
