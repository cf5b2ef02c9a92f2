/** Schemas of the calls that agents and entries make to entries. */
import { Schema } from 'effect'

/** A process of the fleet and where its calls arrive. */
export const Member = Schema.Struct({
  name: Schema.String,
  role: Schema.Literals(['entry', 'agent']),
  /** `IP:PORT`. */
  address: Schema.String
})
export type Member = typeof Member.Type

/** Tells an entry that a process is there. */
export const Announce = Schema.Struct({ member: Member })
export type Announce = typeof Announce.Type

/** All that the entry knows of the fleet. */
export const AnnounceAnswer = Schema.Struct({ members: Schema.Array(Member) })
export type AnnounceAnswer = typeof AnnounceAnswer.Type

/** Asks an entry for the configuration in force there. */
export const AskConfiguration = Schema.Struct({})
export type AskConfiguration = typeof AskConfiguration.Type

export const AskConfigurationAnswer = Schema.Struct({
  /** The record as it was read; absent if the entry has none. */
  record: Schema.optionalKey(Schema.String)
})
export type AskConfigurationAnswer = typeof AskConfigurationAnswer.Type
