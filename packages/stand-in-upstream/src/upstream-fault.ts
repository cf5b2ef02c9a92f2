/** Faults that can be injected into a stand-in upstream while it runs. */
import { Schema } from 'effect'

/**
 * The active fault, or `none`. `fails-all` answers every task with 500 and gives new tasks no run time, `hangs` never
 * answers new tasks, `slow` multiplies the run time of new tasks by `factor`, and `dies` closes the port and all
 * connections until another fault is set.
 */
export const UpstreamFault = Schema.Union([
  Schema.Struct({ kind: Schema.Literals(['none', 'fails-all', 'hangs', 'dies']) }),
  Schema.Struct({ kind: Schema.Literal('slow'), factor: Schema.Finite.check(Schema.isGreaterThan(0)) })
])
export type UpstreamFault = typeof UpstreamFault.Type
