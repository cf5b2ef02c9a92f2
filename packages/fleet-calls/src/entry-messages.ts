/** Schemas of the calls that agents and entries make to entries. */
import { Schema } from 'effect'
import { EvacuationState } from './evacuations.js'
import { Address, Count, Name, Version } from './wire-values.js'

/** A process of the fleet, and the address at which it accepts calls. */
export const Member = Schema.Struct({
  name: Name,
  role: Schema.Literals(['entry', 'agent']),
  address: Address
})
export type Member = typeof Member.Type

/** Announces a process to an entry. */
export const Announce = Schema.Struct({
  member: Member,
  /**
   * Digest of the live members that the process knows, itself included; it lacks nothing if the entry's is equal.
   * Absent from the earliest builds, which are told all members.
   */
  digest: Schema.optionalKey(Count),
  /** Revision of the entry's table in its last answer to the process, absent before the first answer. */
  since: Schema.optionalKey(Schema.Struct({ directory: Schema.String, revision: Count }))
})
export type Announce = typeof Announce.Type

/** The members that the announced process needs and lacks. */
export const AnnounceAnswer = Schema.Struct({
  /** Differs at each start of the entry, whose revisions begin anew; absent from the earliest builds. */
  directory: Schema.optionalKey(Schema.String),
  /** Revision of the entry's table; rises with each change. Absent from the earliest builds. */
  revision: Schema.optionalKey(Count),
  /** Each a `Member`. They are decoded one by one, so that an odd one does not hide the others. */
  members: Schema.Array(Schema.Unknown)
})
export type AnnounceAnswer = typeof AnnounceAnswer.Type

/** Asks an entry for its current configuration, and tells it what the asking one knows of evacuations. */
export const AskConfiguration = Schema.Struct({
  /** Version that the asking entry has; absent if it has none. */
  version: Schema.optionalKey(Version),
  /** The evacuated failure domains as the asking entry knows them; absent if it knows nothing of them. */
  evacuations: Schema.optionalKey(EvacuationState)
})
export type AskConfiguration = typeof AskConfiguration.Type

export const AskConfigurationAnswer = Schema.Struct({
  /** Text of the configuration record; absent if the entry has none that is newer. */
  record: Schema.optionalKey(Schema.String),
  /** The evacuated failure domains as the asked entry knows them; absent if it knows nothing of them. */
  evacuations: Schema.optionalKey(EvacuationState)
})
export type AskConfigurationAnswer = typeof AskConfigurationAnswer.Type

/** Tells an agent which failure domains are evacuated. */
export const TellEvacuations = Schema.Struct({
  evacuations: EvacuationState
})
export type TellEvacuations = typeof TellEvacuations.Type

/** What the agent knows, after it has applied what it was told. */
export const TellEvacuationsAnswer = Schema.Struct({ evacuations: Schema.optionalKey(EvacuationState) })
export type TellEvacuationsAnswer = typeof TellEvacuationsAnswer.Type
