/** Schemas of the calls that agents and entries make to entries. */
import { Schema } from 'effect'

/** A process of the fleet, and the address at which it accepts calls. */
export const Member = Schema.Struct({
  name: Schema.String,
  role: Schema.Literals(['entry', 'agent']),
  /** `IP:PORT`. */
  address: Schema.String
})
export type Member = typeof Member.Type

/** Announces a process to an entry. */
export const Announce = Schema.Struct({
  member: Member,
  /** Digest of the live members that the process knows, itself included; it lacks nothing if the entry's is equal. */
  digest: Schema.Number,
  /** Revision of the entry's table in its last answer to the process, absent before the first answer. */
  since: Schema.optionalKey(Schema.Struct({ directory: Schema.String, revision: Schema.Number }))
})
export type Announce = typeof Announce.Type

/** The members that the announced process needs and lacks. */
export const AnnounceAnswer = Schema.Struct({
  /** Differs at each start of the entry, whose revisions begin anew. */
  directory: Schema.String,
  /** Revision of the entry's table; rises with each change. */
  revision: Schema.Number,
  members: Schema.Array(Member)
})
export type AnnounceAnswer = typeof AnnounceAnswer.Type

/** Asks an entry for its current configuration. */
export const AskConfiguration = Schema.Struct({
  /** Version that the asking entry has; absent if it has none. */
  version: Schema.optionalKey(Schema.Number)
})
export type AskConfiguration = typeof AskConfiguration.Type

export const AskConfigurationAnswer = Schema.Struct({
  /** Text of the configuration record; absent if the entry has none that is newer. */
  record: Schema.optionalKey(Schema.String)
})
export type AskConfigurationAnswer = typeof AskConfigurationAnswer.Type
