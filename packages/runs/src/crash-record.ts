/** An agent's record of the crashes of its upstream, and of the candidates that were done here since. */
import {
  CRASH_RETENTION_MILLISECONDS, type CrashCandidate, type CrashFacts, type UpstreamCrash
} from '@baobabpost/fleet-calls'

/** Most crashes that are kept; the oldest ones are dropped. */
const MAXIMUM_CRASHES = 8
/** Most crashes of other upstreams that are kept; the oldest ones are dropped. */
const MAXIMUM_TOLD_CRASHES = 32
/** Most cleared tasks that are kept; the oldest ones are dropped. */
const MAXIMUM_CLEARED_TASKS = 64

/** What an agent tells entries of crashes. Times are of its steady clock, in milliseconds. */
export interface CrashRecord {
  /** Records a crash under the given tasks; one without any has no cause here and is not kept. */
  recordCrash: (candidates: readonly CrashCandidate[], isSuspected: boolean, now: number) => void
  /** Keeps a crash of another upstream, whose agent may be gone when an entry asks that has started again. */
  recordTold: (crash: UpstreamCrash, now: number) => void
  /** Makes suspected crashes certain, as the instance is gone, or drops them, as it answers again. */
  settleSuspected: (isGone: boolean) => void
  /** Records that a candidate of an earlier crash was done. */
  recordCleared: (task: string, now: number) => void
  /** Rises with each change that entries must be told; they know the crashes of other upstreams. */
  revision: () => number
  /** Returns the facts within their retention; undefined without any. */
  facts: (now: number) => CrashFacts | undefined
}

/**
 * Creates an empty record.
 *
 * @param incarnation - Incarnation of the agent; makes the identities of its crashes unique.
 * @example
 * const record = createCrashRecord('agent-1')
 * record.recordCrash([{ task: '5c0e7a21d94b36f8.0.0.0', route: 'desk' }], false, performance.now())
 */
export function createCrashRecord (incarnation: string): CrashRecord {
  let crashes: Array<{ readonly crash: UpstreamCrash, readonly at: number }> = []
  const told = new Map<string, { readonly crash: UpstreamCrash, readonly at: number }>()
  const clearedAt = new Map<string, number>()
  let revision = 0

  return {
    recordCrash: (candidates, isSuspected, now) => {
      if (candidates.length === 0) return
      revision += 1
      const id = `${incarnation}/${revision}`
      crashes.push({ crash: { id, candidates, ...(isSuspected ? { isSuspected } : {}) }, at: now })
      if (crashes.length > MAXIMUM_CRASHES) crashes.shift()
    },
    recordTold: (crash, now) => {
      if (told.has(crash.id) || crash.id.startsWith(`${incarnation}/`)) return
      told.set(crash.id, { crash, at: now })
      const [oldest] = told.keys()
      if (oldest !== undefined && told.size > MAXIMUM_TOLD_CRASHES) told.delete(oldest)
    },
    settleSuspected: isGone => {
      if (!crashes.some(({ crash }) => crash.isSuspected === true)) return
      revision += 1
      const certain = crashes.filter(({ crash }) => isGone || crash.isSuspected !== true)
      crashes = certain.map(({ crash: { id, candidates }, at }) => ({ crash: { id, candidates }, at }))
    },
    recordCleared: (task, now) => {
      revision += 1
      clearedAt.set(task, now)
      const [oldest] = clearedAt.keys()
      if (oldest !== undefined && clearedAt.size > MAXIMUM_CLEARED_TASKS) clearedAt.delete(oldest)
    },
    revision: () => revision,
    facts: now => {
      const oldestAt = now - CRASH_RETENTION_MILLISECONDS
      const recent = [...crashes, ...told.values()].filter(({ at }) => at >= oldestAt)
      const cleared = [...clearedAt.keys()].filter(task => (clearedAt.get(task) ?? 0) >= oldestAt)
      if (recent.length + cleared.length === 0) return undefined
      return { crashes: recent.map(({ crash }) => crash), cleared }
    }
  }
}
