/**
 * Identities of processes and of submissions, as branded strings with their schemas:
 *
 * - a submission key is a UUID of version 7, which contains the time at which the caller created it;
 * - a process identity is `NAME@UUID`: the name comes from the settings, the UUID is new at each start, so a
 *   restarted process is never taken for the process before the restart.
 */
import { Schema } from 'effect'
import { v7 as createUuid } from 'uuid'

const UUID_VERSION_7 = /^[0-9a-f]{8}-[0-9a-f]{4}-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}$/
const PROCESS_IDENTITY = /^[A-Za-z0-9_.-]{1,64}@[0-9a-f-]{36}$/
const NAME = /^[A-Za-z0-9][A-Za-z0-9_.-]{0,63}$/

/** Key under which a caller submits a job: a UUID of version 7 in lower case. */
export const SubmissionKey = Schema.String.check(Schema.isPattern(UUID_VERSION_7)).pipe(Schema.brand('SubmissionKey'))
export type SubmissionKey = typeof SubmissionKey.Type

/** Identity of an entry process, new at each start. */
export const EntryIdentity = Schema.String.check(Schema.isPattern(PROCESS_IDENTITY)).pipe(Schema.brand('EntryIdentity'))
export type EntryIdentity = typeof EntryIdentity.Type

/** Identity of an agent process, new at each start. */
export const AgentIdentity = Schema.String.check(Schema.isPattern(PROCESS_IDENTITY)).pipe(Schema.brand('AgentIdentity'))
export type AgentIdentity = typeof AgentIdentity.Type

/** Identity of a process that a link can address. */
export type ProcessIdentity = EntryIdentity | AgentIdentity

/** Name of a template, customer, team, service or failure domain: 1 to 64 letters, digits, `.`, `_`, `-`. */
export const Name = Schema.String.check(Schema.isPattern(NAME))

/**
 * Creates the identity of an entry process.
 *
 * @example
 * createEntryIdentity('entry-1') // 'entry-1@0193…'
 */
export function createEntryIdentity (name: string): EntryIdentity {
  return `${name}@${createUuid()}` as EntryIdentity
}

/**
 * Creates the identity of an agent process.
 *
 * @example
 * createAgentIdentity('agent-7') // 'agent-7@0193…'
 */
export function createAgentIdentity (name: string): AgentIdentity {
  return `${name}@${createUuid()}` as AgentIdentity
}

/**
 * Returns the name in the identity of a process, which stays the same when it restarts.
 *
 * @example
 * processName('agent-7@0193…' as AgentIdentity) // 'agent-7'
 */
export function processName (identity: ProcessIdentity): string {
  return identity.slice(0, identity.lastIndexOf('@'))
}

/**
 * Creates a submission key for the given time.
 *
 * @param unixMilliseconds - Unix time in milliseconds that the key contains; the current time by default.
 * @example
 * createSubmissionKey(Date.now())
 */
export function createSubmissionKey (unixMilliseconds: number = Date.now()): SubmissionKey {
  return createUuid({ msecs: unixMilliseconds }) as SubmissionKey
}

/**
 * Returns the Unix time in milliseconds that a submission key contains.
 *
 * @example
 * submissionKeyTime(createSubmissionKey(1_700_000_000_000)) // 1_700_000_000_000
 */
export function submissionKeyTime (key: SubmissionKey): number {
  return Number.parseInt(key.slice(0, 8) + key.slice(9, 13), 16)
}
