/** Which tasks crash upstreams, worked out from the crashes that agents tell and from what was done since. */
import {
  CRASH_RETENTION_MILLISECONDS, CRASHES_BEFORE_RUNNING_ALONE, type CrashCandidate, type CrashFacts, type UpstreamCrash
} from '@baobabpost/fleet-calls'
import { createCrashCandidates, type KnownCrash } from './crash-candidates.js'

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
 * - `held`: several did, and others that were there may be the cause, or it is uncertain whether all of them crashed
 *   and one more would be too many; it is not to be sent yet;
 * - `lone`: as before, and waiting has not shown the cause; it is to run alone;
 * - `blamed`: several did, and everything else that was there has been done since.
 */
export type Suspicion = 'clear' | 'suspect' | 'held' | 'lone' | 'blamed'

/** Evidence about crashes. Times are on the entry's steady clock, in milliseconds. */
export interface CrashEvidence {
  /**
   * Adds what an incarnation of an agent tells; undefined if it knows of none.
   *
   * @returns the crashes that were not known, and those that were only suspected and are certain now.
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
  /** Returns the tasks that are blamed. */
  blamedTasks: (now: number) => readonly string[]
  /** Fewest routes that explain all tasks which had several crashes without another known cause. */
  implicatedRoutes: () => ReadonlySet<string>
  /** Whether no crash is known. */
  isEmpty: () => boolean
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
  const clearedAt = new Map<string, number>()
  const index = createCrashCandidates(task => clearedAt.has(task))
  /** Tasks that are proven to crash upstreams, as of a revision of the causes. */
  let provenCauses: ReadonlySet<string> = new Set()
  let provenRevision = 0
  let lastMergeAt = 0
  let routes: ReadonlySet<string> | undefined = new Set()

  function isProvenCause (task: string): boolean {
    let confirmedCount = 0
    for (const { candidates } of index.causedBy(task)) {
      if (candidates.get(task)?.isUnconfirmed !== true) confirmedCount += 1
    }
    return confirmedCount >= PROVEN_CRASHES_BEFORE_BLAME
  }

  function findProvenCauses (): ReadonlySet<string> {
    const revision = index.causeRevision()
    if (revision !== provenRevision) {
      provenRevision = revision
      provenCauses = new Set([...index.causes()].filter(isProvenCause))
    }
    return provenCauses
  }

  /** Whether the agent that told the crash may yet tell that it was none. */
  function isUnsettled ({ isSuspected, incarnation }: KnownCrash): boolean {
    return isSuspected && incarnation !== ''
  }

  function isBlamed (task: string): boolean {
    if (isProvenCause(task)) return true
    const settled = index.crashesOf(task).filter(crash => !isUnsettled(crash))
    return settled.length >= CRASHES_BEFORE_BLAME && index.causedBy(task).size > 0
  }

  function isExplainedByOther (task: string, { open }: KnownCrash): boolean {
    for (const cause of findProvenCauses()) if (cause !== task && open.has(cause)) return true
    return false
  }

  function unexplainedCrashes (task: string): readonly KnownCrash[] {
    if (clearedAt.has(task)) return []
    const crashes = index.crashesOf(task)
    if (findProvenCauses().size === 0) return crashes
    return crashes.filter(crash => !isExplainedByOther(task, crash))
  }

  function suspicionOf (task: string, now: number): Suspicion {
    const unexplained = unexplainedCrashes(task)
    const last = unexplained[unexplained.length - 1]
    if (last === undefined) return 'clear'
    if (isBlamed(task)) return 'blamed'
    if (unexplained.length < CRASHES_BEFORE_RUNNING_ALONE) return 'suspect'
    if (unexplained.length >= CRASHES_BEFORE_BLAME && unexplained.some(isUnsettled)) return 'held'
    return now - last.learnedAt < HOLD_MILLISECONDS ? 'held' : 'lone'
  }

  /** Tasks with several crashes without another known cause, and those crashes; the first with several comes first. */
  function frequentCandidates (): FrequentCandidate[] {
    const frequent: FrequentCandidate[] = []
    for (const candidate of index.repeated()) {
      const unexplained = unexplainedCrashes(candidate.task)
      if (unexplained.length >= CRASHES_BEFORE_RUNNING_ALONE) frequent.push({ candidate, unexplained })
    }
    return frequent.sort((left, right) =>
      Number(isBlamed(right.candidate.task)) - Number(isBlamed(left.candidate.task)) ||
      (left.unexplained[1]?.learnedAt ?? 0) - (right.unexplained[1]?.learnedAt ?? 0))
  }

  function hasCandidateOf (routesOfCause: ReadonlySet<string>, { openByRoute }: KnownCrash): boolean {
    for (const route of routesOfCause) if ((openByRoute.get(route) ?? 0) > 0) return true
    return false
  }

  /** A crash that one implicated route may explain implicates no other route. */
  function findImplicatedRoutes (): ReadonlySet<string> {
    const implicated = new Set<string>()
    for (const { candidate: { route }, unexplained } of frequentCandidates()) {
      if (implicated.has(route)) continue
      const remaining = unexplained.filter(crash => !hasCandidateOf(implicated, crash))
      if (remaining.length >= CRASHES_BEFORE_RUNNING_ALONE) implicated.add(route)
    }
    return implicated
  }

  return {
    merge: (incarnation, facts, now) => {
      lastMergeAt = now
      if (facts === undefined && index.crashes.size === 0) return []
      const told = new Map(facts?.crashes.map(crash => [crash.id, crash]))
      const confirmed: UpstreamCrash[] = []
      for (const crash of [...index.crashes.values()]) {
        if (crash.incarnation !== incarnation || !crash.isSuspected) continue
        const toldCrash = told.get(crash.id)
        if (toldCrash === undefined) {
          index.remove(crash)
        } else if (toldCrash.isSuspected !== true) {
          index.setSuspected(crash, false)
          confirmed.push(toldCrash)
        }
      }
      const added = [...told.values()].filter(({ id }) => !index.crashes.has(id))
      for (const crash of added) index.add(incarnation, crash, now)
      for (const task of facts?.cleared ?? []) {
        if (clearedAt.has(task)) continue
        clearedAt.set(task, now)
        index.close(task)
      }
      routes = undefined
      return [...added, ...confirmed]
    },
    addLost: (incarnation, candidates, now) => {
      const id = `lost with ${incarnation}`
      if (candidates.length === 0 || index.crashes.has(id)) return
      lastMergeAt = now
      index.add('', { id, candidates, isSuspected: true }, now)
      routes = undefined
    },
    clear: task => {
      if (index.crashesOf(task).length === 0 || clearedAt.has(task)) return
      clearedAt.set(task, lastMergeAt)
      index.close(task)
      routes = undefined
    },
    expire: now => {
      const oldestAt = now - CRASH_RETENTION_MILLISECONDS
      let hasChanged = false
      for (const crash of [...index.crashes.values()]) {
        if (crash.learnedAt >= oldestAt) continue
        index.remove(crash)
        hasChanged = true
      }
      for (const [task, at] of clearedAt) {
        if (at >= oldestAt) continue
        clearedAt.delete(task)
        index.reopen(task)
        hasChanged = true
      }
      if (hasChanged) routes = undefined
    },
    suspicionOf,
    crashCountOf: task => unexplainedCrashes(task).length,
    blamedTasks: now => {
      const blamed: string[] = []
      for (const task of index.causes()) if (suspicionOf(task, now) === 'blamed') blamed.push(task)
      return blamed
    },
    implicatedRoutes: () => {
      routes ??= findImplicatedRoutes()
      return routes
    },
    isEmpty: () => index.crashes.size === 0
  }
}
