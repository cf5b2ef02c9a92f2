/** The crashes that an entry knows of, each with the tasks that may have caused it. */
import type { CrashCandidate, UpstreamCrash } from '@baobabpost/fleet-calls'

export interface KnownCrash {
  readonly id: string
  /** Incarnation of the agent that told it. */
  readonly incarnation: string
  /** The tasks that were there, by name. */
  readonly candidates: ReadonlyMap<string, CrashCandidate>
  isSuspected: boolean
  /** On the entry's steady clock, in milliseconds. */
  readonly learnedAt: number
  /** Names of the candidates that were not done since. */
  readonly open: Set<string>
  /** Number of these by route. */
  readonly openByRoute: Map<string, number>
  /** The candidate that is left as the cause: all others were done since, and the crash is certain. */
  cause: string | undefined
}

/** Index of the crashes by task. Each change and each question costs as much as the tasks that it concerns. */
export interface CrashCandidates {
  readonly crashes: ReadonlyMap<string, KnownCrash>
  add: (incarnation: string, crash: UpstreamCrash, now: number) => void
  remove: (crash: KnownCrash) => void
  setSuspected: (crash: KnownCrash, isSuspected: boolean) => void
  /** Records that a candidate was done. */
  close: (task: string) => void
  /** Records that it is not known any more whether a candidate was done. */
  reopen: (task: string) => void
  /** Returns the crashes under a task. */
  crashesOf: (task: string) => readonly KnownCrash[]
  /** Returns the tasks with several crashes, with one of their entries as candidates. */
  repeated: () => Iterable<CrashCandidate>
  /** Returns the tasks that are left as the cause of a crash. */
  causes: () => Iterable<string>
  /** Returns the crashes of which a task is left as the cause. */
  causedBy: (task: string) => ReadonlySet<KnownCrash>
  /** Rises with each change of the causes. */
  causeRevision: () => number
}

const NO_CRASHES: ReadonlySet<KnownCrash> = new Set()

/**
 * Creates an index without crashes.
 *
 * @param isDone - Whether a task was done.
 * @example
 * const candidates = createCrashCandidates(task => clearedAt.has(task))
 * candidates.add('agent-1', { id: 'agent-1/1', candidates: [{ task, route: 'desk' }] }, now)
 */
export function createCrashCandidates (isDone: (task: string) => boolean): CrashCandidates {
  const crashes = new Map<string, KnownCrash>()
  const crashesByTask = new Map<string, KnownCrash[]>()
  const repeated = new Map<string, CrashCandidate>()
  const crashesByCause = new Map<string, Set<KnownCrash>>()
  let causeRevision = 0

  function setCause (crash: KnownCrash, cause: string | undefined): void {
    if (crash.cause === cause) return
    causeRevision += 1
    if (crash.cause !== undefined) {
      const caused = crashesByCause.get(crash.cause)
      caused?.delete(crash)
      if (caused?.size === 0) crashesByCause.delete(crash.cause)
    }
    crash.cause = cause
    if (cause !== undefined) crashesByCause.set(cause, (crashesByCause.get(cause) ?? new Set()).add(crash))
  }

  function updateCause (crash: KnownCrash): void {
    const [only] = crash.open
    setCause(crash, crash.open.size === 1 && !crash.isSuspected ? only : undefined)
  }

  function countOpen ({ candidates, openByRoute }: KnownCrash, task: string, change: number): void {
    const route = candidates.get(task)?.route ?? ''
    openByRoute.set(route, (openByRoute.get(route) ?? 0) + change)
  }

  function closeAt (crash: KnownCrash, task: string): void {
    if (!crash.open.delete(task)) return
    countOpen(crash, task, -1)
    updateCause(crash)
  }

  function openAt (crash: KnownCrash, task: string): void {
    if (crash.open.has(task)) return
    crash.open.add(task)
    countOpen(crash, task, 1)
  }

  return {
    crashes,
    add: (incarnation, { id, candidates, isSuspected = false }, now) => {
      const crash: KnownCrash = {
        id,
        incarnation,
        candidates: new Map(candidates.map(candidate => [candidate.task, candidate])),
        isSuspected,
        learnedAt: now,
        open: new Set(),
        openByRoute: new Map(),
        cause: undefined
      }
      crashes.set(id, crash)
      for (const [task, candidate] of crash.candidates) {
        const known = crashesByTask.get(task) ?? []
        crashesByTask.set(task, [...known, crash])
        if (known.length > 0) repeated.set(task, known[0]?.candidates.get(task) ?? candidate)
        if (!isDone(task)) openAt(crash, task)
      }
      updateCause(crash)
    },
    remove: crash => {
      crashes.delete(crash.id)
      setCause(crash, undefined)
      for (const task of crash.candidates.keys()) {
        const remaining = (crashesByTask.get(task) ?? []).filter(other => other !== crash)
        if (remaining.length > 0) crashesByTask.set(task, remaining)
        else crashesByTask.delete(task)
        if (remaining.length < 2) repeated.delete(task)
      }
    },
    setSuspected: (crash, isSuspected) => {
      crash.isSuspected = isSuspected
      updateCause(crash)
    },
    close: task => { for (const crash of crashesByTask.get(task) ?? []) closeAt(crash, task) },
    reopen: task => {
      for (const crash of crashesByTask.get(task) ?? []) {
        openAt(crash, task)
        updateCause(crash)
      }
    },
    crashesOf: task => crashesByTask.get(task) ?? [],
    repeated: () => repeated.values(),
    causes: () => crashesByCause.keys(),
    causedBy: task => crashesByCause.get(task) ?? NO_CRASHES,
    causeRevision: () => causeRevision
  }
}
