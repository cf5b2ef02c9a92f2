/** Which tasks crash upstreams, worked out from the crashes that agents tell and from what was done since. */
import {
  CRASH_RETENTION_MILLISECONDS, CRASHES_BEFORE_RUNNING_ALONE, type CrashCandidate, type CrashFacts, type UpstreamCrash
} from '@baobabpost/fleet-calls'

/** Crashes from which a task is blamed if everything else at them was done since: one may be a coincidence. */
const PROVEN_CRASHES_BEFORE_BLAME = 2
/** Crashes under a task from which one such crash is enough. */
const CRASHES_BEFORE_BLAME = 3
/**
 * Time after the last crash under a task before it runs alone: runs that were beside it are done within this time,
 * mostly, and what is left shows who is to blame without another crash.
 */
const HOLD_MILLISECONDS = 500

/**
 * What is known of a task.
 *
 * - `clear`: no upstream crashed under it without another known cause, or it was done since;
 * - `suspect`: one upstream did;
 * - `held`: several did, and others that were there may be the cause; it is not to be sent yet;
 * - `lone`: as before, and waiting has not shown the cause; it is to run alone;
 * - `blamed`: several did, and everything else that was there has been done since.
 */
export type Suspicion = 'clear' | 'suspect' | 'held' | 'lone' | 'blamed'

/** Evidence about crashes. Times are on the entry's steady clock, in milliseconds. */
export interface CrashEvidence {
  /**
   * Adds what an incarnation of an agent tells; undefined if it knows of none.
   *
   * @returns the crashes that were not known.
   */
  merge: (incarnation: string, facts: CrashFacts | undefined, now: number) => UpstreamCrash[]
  /**
   * Records tasks that were lost with their agent, which told nothing: their upstream may have crashed with it, under
   * them or under others.
   */
  addLost: (incarnation: string, tasks: readonly CrashCandidate[], now: number) => void
  /** Records that a task was done. */
  clear: (task: string) => void
  /** Drops what is past its retention. */
  expire: (now: number) => void
  suspicionOf: (task: string, now: number) => Suspicion
  /** Returns the number of crashes under a task that no other task is known to have caused; 0 once it was done. */
  crashCountOf: (task: string) => number
  /** Fewest routes that explain all tasks which had several crashes without another known cause. */
  implicatedRoutes: () => ReadonlySet<string>
  /** Whether no crash is known. */
  isEmpty: () => boolean
}

interface KnownCrash {
  /** Incarnation of the agent that told it. */
  readonly incarnation: string
  /** The tasks that were there, by name. */
  readonly candidates: ReadonlyMap<string, CrashCandidate>
  isSuspected: boolean
  readonly learnedAt: number
}

interface FrequentCandidate {
  readonly candidate: CrashCandidate
  readonly unexplained: readonly KnownCrash[]
}

/**
 * Creates evidence of no crash.
 *
 * A crash is explained by elimination: a task that crashes its upstreams is never done, so of the tasks that were there
 * the one that is left once all others are done is the cause. Tasks that only ran beside it are never blamed, however
 * many crashes they were in.
 *
 * @example
 * const evidence = createCrashEvidence()
 * const crash = { id: 'agent-1/1', candidates: [{ task, route: 'desk' }] }
 * evidence.merge('agent-1', { crashes: [crash], cleared: [] }, now)
 * evidence.suspicionOf(task, now) // 'suspect'
 */
export function createCrashEvidence (): CrashEvidence {
  const crashes = new Map<string, KnownCrash>()
  const crashesByTask = new Map<string, KnownCrash[]>()
  const clearedAt = new Map<string, number>()
  let lastMergeAt = 0
  let routes: ReadonlySet<string> | undefined = new Set()

  function isOnlyCandidate (task: string, crash: KnownCrash): boolean {
    for (const other of crash.candidates.keys()) if (other !== task && !clearedAt.has(other)) return false
    return true
  }

  /** Returns the crashes of a task at which everything else has been done since. */
  function provenCrashes (task: string): KnownCrash[] {
    if (clearedAt.has(task)) return []
    return (crashesByTask.get(task) ?? []).filter(crash => !crash.isSuspected && isOnlyCandidate(task, crash))
  }

  function isProvenCause (task: string): boolean {
    const confirmed = provenCrashes(task).filter(({ candidates }) => candidates.get(task)?.isUnconfirmed !== true)
    return confirmed.length >= PROVEN_CRASHES_BEFORE_BLAME
  }

  function isBlamed (task: string): boolean {
    if (isProvenCause(task)) return true
    return (crashesByTask.get(task)?.length ?? 0) >= CRASHES_BEFORE_BLAME && provenCrashes(task).length > 0
  }

  function isExplainedByOther (task: string, { candidates }: KnownCrash): boolean {
    for (const other of candidates.keys()) if (other !== task && isProvenCause(other)) return true
    return false
  }

  function unexplainedCrashes (task: string): KnownCrash[] {
    if (clearedAt.has(task)) return []
    return (crashesByTask.get(task) ?? []).filter(crash => !isExplainedByOther(task, crash))
  }

  function suspicionOf (task: string, now: number): Suspicion {
    const unexplained = unexplainedCrashes(task)
    const last = unexplained[unexplained.length - 1]
    if (last === undefined) return 'clear'
    if (isBlamed(task)) return 'blamed'
    if (unexplained.length < CRASHES_BEFORE_RUNNING_ALONE) return 'suspect'
    return now - last.learnedAt < HOLD_MILLISECONDS ? 'held' : 'lone'
  }

  /** Tasks with several crashes without another known cause, and those crashes; the first with several comes first. */
  function frequentCandidates (): FrequentCandidate[] {
    const frequent = new Map<string, FrequentCandidate>()
    for (const { candidates } of crashes.values()) {
      for (const candidate of candidates.values()) {
        const { task } = candidate
        const isSeenOnce = (crashesByTask.get(task)?.length ?? 0) < CRASHES_BEFORE_RUNNING_ALONE
        if (isSeenOnce || frequent.has(task)) continue
        const unexplained = unexplainedCrashes(task)
        if (unexplained.length >= CRASHES_BEFORE_RUNNING_ALONE) frequent.set(task, { candidate, unexplained })
      }
    }
    return [...frequent.values()].sort((left, right) =>
      Number(isBlamed(right.candidate.task)) - Number(isBlamed(left.candidate.task)) ||
      (left.unexplained[1]?.learnedAt ?? 0) - (right.unexplained[1]?.learnedAt ?? 0))
  }

  function hasCandidateOf (routesOfCause: ReadonlySet<string>, { candidates }: KnownCrash): boolean {
    for (const { task, route } of candidates.values()) if (routesOfCause.has(route) && !clearedAt.has(task)) return true
    return false
  }

  /** A crash that one implicated route may explain implicates no other route. */
  function findImplicatedRoutes (): ReadonlySet<string> {
    const implicated = new Set<string>()
    for (const { candidate: { route }, unexplained } of frequentCandidates()) {
      const remaining = unexplained.filter(crash => !hasCandidateOf(implicated, crash))
      if (remaining.length >= CRASHES_BEFORE_RUNNING_ALONE) implicated.add(route)
    }
    return implicated
  }

  function addCrash (incarnation: string, { id, candidates, isSuspected = false }: UpstreamCrash, now: number): void {
    const candidatesByTask = new Map(candidates.map(candidate => [candidate.task, candidate]))
    const crash: KnownCrash = { incarnation, candidates: candidatesByTask, isSuspected, learnedAt: now }
    crashes.set(id, crash)
    for (const task of crash.candidates.keys()) crashesByTask.set(task, [...crashesByTask.get(task) ?? [], crash])
  }

  function removeCrash (id: string, crash: KnownCrash): void {
    crashes.delete(id)
    for (const task of crash.candidates.keys()) {
      const remaining = (crashesByTask.get(task) ?? []).filter(other => other !== crash)
      if (remaining.length > 0) crashesByTask.set(task, remaining)
      else crashesByTask.delete(task)
    }
  }

  return {
    merge: (incarnation, facts, now) => {
      lastMergeAt = now
      if (facts !== undefined || crashes.size > 0) routes = undefined
      const told = new Map(facts?.crashes.map(crash => [crash.id, crash]))
      for (const [id, crash] of crashes) {
        if (crash.incarnation !== incarnation || !crash.isSuspected) continue
        if (told.has(id)) crash.isSuspected = told.get(id)?.isSuspected === true
        else removeCrash(id, crash)
      }
      const added = [...told.values()].filter(({ id }) => !crashes.has(id))
      for (const crash of added) addCrash(incarnation, crash, now)
      for (const task of facts?.cleared ?? []) if (!clearedAt.has(task)) clearedAt.set(task, now)
      return added
    },
    addLost: (incarnation, candidates, now) => {
      const id = `lost with ${incarnation}`
      if (candidates.length === 0 || crashes.has(id)) return
      lastMergeAt = now
      routes = undefined
      addCrash('', { id, candidates, isSuspected: true }, now)
    },
    clear: task => {
      if (!crashesByTask.has(task) || clearedAt.has(task)) return
      clearedAt.set(task, lastMergeAt)
      routes = undefined
    },
    expire: now => {
      const oldestAt = now - CRASH_RETENTION_MILLISECONDS
      for (const [id, crash] of crashes) {
        if (crash.learnedAt >= oldestAt) continue
        removeCrash(id, crash)
        routes = undefined
      }
      for (const [task, at] of clearedAt) if (at < oldestAt) clearedAt.delete(task)
    },
    suspicionOf,
    crashCountOf: task => unexplainedCrashes(task).length,
    implicatedRoutes: () => {
      routes ??= findImplicatedRoutes()
      return routes
    },
    isEmpty: () => crashes.size === 0
  }
}
