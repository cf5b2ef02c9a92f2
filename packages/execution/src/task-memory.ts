/** Remembers tasks, so that none is started a second time, and evicts them after a retention period. */
import type { EntryIdentity } from '@baobabpost/common'
import type { SubmissionHeader } from '@baobabpost/messages'
import { createSubmissionState, createTaskState, NO_PARTITION, type SubmissionState, type TaskState } from './task-state.js'

export interface TaskMemory {
  find: (key: string) => SubmissionState | undefined
  /** Finds a submission or adds it; fills in its header and partition if they were missing. */
  open: (
    key: string, header: SubmissionHeader | undefined, partition: number, sender: EntryIdentity, now: number
  ) => SubmissionState
  /** Adds a task, or replaces a refused task by a later attempt. */
  add: (submission: SubmissionState, index: number, attempt: number | undefined, now: number) => TaskState
  inPartition: (partition: number) => Iterable<SubmissionState>
  /** Evicts expired submissions, except those with unfinished tasks or tasks that a dispatch may still start. */
  evictExpired: (now: number, onEvicted: (task: TaskState) => void) => void
  /** Number of remembered tasks. */
  size: () => number
}

export interface TaskMemoryOptions {
  /** Retention period of a submission after its last event. */
  readonly keyWindowMilliseconds: number
  /** Retention period of a single call after its last event; its entry does not ask for the call after that. */
  readonly callWindowMilliseconds: number
}

/** Time at which a submission is checked for expiry. */
interface ExpiryCheck {
  readonly submission: SubmissionState
  readonly dueAt: number
}

const COMPACTION_LENGTH = 1_024

/** Submissions with the same retention period, in the order of their next expiry check. */
function createExpiryQueue (windowMilliseconds: number) {
  let checks: ExpiryCheck[] = []
  let next = 0

  function add (submission: SubmissionState, at: number): void {
    checks.push({ submission, dueAt: at + windowMilliseconds })
  }

  function compact (): void {
    if (next < COMPACTION_LENGTH || next * 2 < checks.length) return
    checks = checks.slice(next)
    next = 0
  }

  return {
    add,
    /** Calls `onExpired` for each expired submission, and schedules another check for the others that are due. */
    takeExpired (now: number, onExpired: (submission: SubmissionState) => void): void {
      // Checks that are added during the loop are left for the next call.
      const { length } = checks
      while (next < length) {
        const check = checks[next]
        if (check === undefined || check.dueAt > now) break
        next += 1
        const { submission } = check
        if (submission.unfinishedCount > 0) add(submission, now)
        else if (submission.lastEventAt + windowMilliseconds > now) add(submission, submission.lastEventAt)
        else if (submission.startBefore > now) add(submission, now)
        else onExpired(submission)
      }
      compact()
    }
  }
}

/**
 * @example
 * const memory = createTaskMemory({ keyWindowMilliseconds: 604_000, callWindowMilliseconds: 60_000 })
 */
export function createTaskMemory (options: TaskMemoryOptions): TaskMemory {
  const submissions = new Map<string, SubmissionState>()
  const partitions = new Map<number, Set<SubmissionState>>()
  const keyedExpiry = createExpiryQueue(options.keyWindowMilliseconds)
  const callExpiry = createExpiryQueue(Math.min(options.keyWindowMilliseconds, options.callWindowMilliseconds))
  let taskCount = 0

  function addToPartition (submission: SubmissionState): void {
    if (submission.partition === NO_PARTITION) return
    const known = partitions.get(submission.partition)
    if (known === undefined) partitions.set(submission.partition, new Set([submission]))
    else known.add(submission)
  }

  function remove (submission: SubmissionState): void {
    submissions.delete(submission.key)
    taskCount -= submission.tasks.size
    const others = partitions.get(submission.partition)
    others?.delete(submission)
    if (others?.size === 0) partitions.delete(submission.partition)
  }

  return {
    find: key => submissions.get(key),
    open (key, header, partition, sender, now) {
      const known = submissions.get(key)
      if (known === undefined) {
        const submission = createSubmissionState(key, header, partition, sender, now)
        submissions.set(key, submission)
        // A withdrawal that arrives before its dispatch does not say whether the submission is a single call.
        const isCall = header !== undefined && partition === NO_PARTITION
        const expiryQueue = isCall ? callExpiry : keyedExpiry
        expiryQueue.add(submission, now)
        addToPartition(submission)
        return submission
      }
      known.header ??= header
      if (known.partition === NO_PARTITION && partition !== NO_PARTITION) {
        known.partition = partition
        addToPartition(known)
      }
      return known
    },
    add (submission, taskIndex, attempt, now) {
      const task = createTaskState(submission, taskIndex, attempt)
      if (!submission.tasks.has(taskIndex)) taskCount += 1
      submission.tasks.set(taskIndex, task)
      submission.lastEventAt = now
      return task
    },
    inPartition: partition => partitions.get(partition) ?? [],
    evictExpired (now, onEvicted) {
      function evictSubmission (submission: SubmissionState): void {
        remove(submission)
        for (const task of submission.tasks.values()) onEvicted(task)
      }
      keyedExpiry.takeExpired(now, evictSubmission)
      callExpiry.takeExpired(now, evictSubmission)
    },
    size: () => taskCount
  }
}
