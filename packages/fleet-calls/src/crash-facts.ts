/** Schemas of what agents tell entries of crashes of their upstreams. */
import { Schema } from 'effect'

/** A task that was at an upstream when it crashed. */
export const CrashCandidate = Schema.Struct({
  task: Schema.String,
  /** Name of its job's route; empty if the entry did not tell it. */
  route: Schema.String,
  /** Whether its start order had no answer, so that it may not have been there. False where absent. */
  isUnconfirmed: Schema.optionalKey(Schema.Boolean)
})
export type CrashCandidate = typeof CrashCandidate.Type

/** A crash of an upstream, and all tasks that may have caused it. */
export const UpstreamCrash = Schema.Struct({
  /** Unique in the fleet. */
  id: Schema.String,
  candidates: Schema.Array(CrashCandidate),
  /** Whether the upstream only stopped answering: the same instance may yet answer again. False where absent. */
  isSuspected: Schema.optionalKey(Schema.Boolean)
})
export type UpstreamCrash = typeof UpstreamCrash.Type

/** What an agent knows of recent crashes. */
export const CrashFacts = Schema.Struct({
  /**
   * Crashes of its upstream, and some that entries told of others; a suspected one that is missing later was none. The
   * identity of a crash begins with the incarnation of its agent and a slash.
   */
  crashes: Schema.Array(UpstreamCrash),
  /** Candidates of any crash that were done at its upstream since: they crash no upstream. */
  cleared: Schema.Array(Schema.String)
})
export type CrashFacts = typeof CrashFacts.Type

/** Tells an agent crashes of other upstreams, which it keeps for entries that start again. */
export const TellCrashes = Schema.Struct({ crashes: Schema.Array(UpstreamCrash) })
export type TellCrashes = typeof TellCrashes.Type

export const TellCrashesAnswer = Schema.Struct({})
export type TellCrashesAnswer = typeof TellCrashesAnswer.Type

/**
 * Time for which facts of a crash are kept, in milliseconds: longer than a job waits for its answer and its caller
 * then sends it again.
 */
export const CRASH_RETENTION_MILLISECONDS = 30_000

/**
 * Number of crashes under a task from which it runs alone at an upstream: another crash is then its own, and a task
 * that only ran beside such ones can be done.
 */
export const CRASHES_BEFORE_RUNNING_ALONE = 2
