/** Faults that can be brought about in a stand-in upstream while it runs. */
import { Schema } from 'effect'

/** What is wrong with the upstream; `dies` closes its port and all connections until another fault is set. */
export const UpstreamFault = Schema.Union([
  Schema.Struct({ kind: Schema.Literals(['none', 'fails-all', 'hangs', 'dies']) }),
  Schema.Struct({ kind: Schema.Literal('slow'), factor: Schema.Finite.check(Schema.isGreaterThan(0)) })
])
export type UpstreamFault = typeof UpstreamFault.Type
