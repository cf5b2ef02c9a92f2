/** Memory of tasks: nothing that it holds is started a second time. Forgets after a time. */
import type { EntryIdentity } from '@baobabpost/common'
import type { SubmissionHeader } from '@baobabpost/messages'
import { createSubmissionState, createTaskState, NO_PARTITION, type SubmissionState, type TaskState } from './task-state.js'

/** The remembered submissions and tasks. */
export interface TaskMemory {
  find: (key: string) => SubmissionState | undefined
  /** Finds a submission or begins to remember it; fills in what was missing. */
  open: (
    key: string, header: SubmissionHeader | undefined, partition: number, caller: EntryIdentity, now: number
  ) => SubmissionState
  /** Begins to remember a task, or remembers a later attempt in place of a refused one. */
  add: (submission: SubmissionState, index: number, attempt: number | undefined, now: number) => TaskState
  inPartition: (partition: number) => Iterable<SubmissionState>
  /** Forgets what is old enough; submissions with unfinished tasks, or that might still start, stay. */
  forget: (now: number, onForgotten: (task: TaskState) => void) => void
  /** Number of tasks remembered. */
  size: () => number
}

/** For how long an agent remembers. */
export interface TaskMemoryOptions {
  /** Time after the last event of a submission. */
  readonly keyWindowMilliseconds: number
  /** Time after the last event of a single call: its entry asks for it no longer than that. */
  readonly callWindowMilliseconds: number
}

/** When a submission is looked at for being forgotten. */
interface Appointment {
  readonly submission: SubmissionState
  readonly dueAt: number
}

const COMPACTION_LENGTH = 1_024

/** Submissions that are remembered for the same time, in the order in which they are looked at. */
function createAppointments (windowMilliseconds: number) {
  let appointments: Appointment[] = []
  let next = 0

  function add (submission: SubmissionState, at: number): void {
    appointments.push({ submission, dueAt: at + windowMilliseconds })
  }

  function compact (): void {
    if (next < COMPACTION_LENGTH || next * 2 < appointments.length) return
    appointments = appointments.slice(next)
    next = 0
  }

  return {
    add,
    /** Calls back for each submission whose time is over. */
    takeOver (now: number, onOver: (submission: SubmissionState) => void): void {
      // What is added meanwhile is looked at another time.
      const { length } = appointments
      while (next < length) {
        const appointment = appointments[next]
        if (appointment === undefined || appointment.dueAt > now) break
        next += 1
        const { submission } = appointment
        if (submission.unfinished > 0) add(submission, now)
        else if (submission.touchedAt + windowMilliseconds > now) add(submission, submission.touchedAt)
        else if (submission.startBefore > now) add(submission, now)
        else onOver(submission)
      }
      compact()
    }
  }
}

/**
 * Makes the memory of an agent.
 *
 * @example
 * const memory = createTaskMemory({ keyWindowMilliseconds: 604_000, callWindowMilliseconds: 60_000 })
 */
export function createTaskMemory (options: TaskMemoryOptions): TaskMemory {
  const submissions = new Map<string, SubmissionState>()
  const partitions = new Map<number, Set<SubmissionState>>()
  const keyed = createAppointments(options.keyWindowMilliseconds)
  const calls = createAppointments(Math.min(options.keyWindowMilliseconds, options.callWindowMilliseconds))
  let taskCount = 0

  function index (submission: SubmissionState): void {
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
    open (key, header, partition, caller, now) {
      const known = submissions.get(key)
      if (known === undefined) {
        const submission = createSubmissionState(key, header, partition, caller, now)
        submissions.set(key, submission)
        // A withdrawal that came ahead does not tell whether the submission is a single call.
        const isCall = header !== undefined && partition === NO_PARTITION
        const appointments = isCall ? calls : keyed
        appointments.add(submission, now)
        index(submission)
        return submission
      }
      known.header ??= header
      if (known.partition === NO_PARTITION && partition !== NO_PARTITION) {
        known.partition = partition
        index(known)
      }
      return known
    },
    add (submission, taskIndex, attempt, now) {
      const task = createTaskState(submission, taskIndex, attempt)
      if (!submission.tasks.has(taskIndex)) taskCount += 1
      submission.tasks.set(taskIndex, task)
      submission.touchedAt = now
      return task
    },
    inPartition: partition => partitions.get(partition) ?? [],
    forget (now, onForgotten) {
      function forgetSubmission (submission: SubmissionState): void {
        remove(submission)
        for (const task of submission.tasks.values()) onForgotten(task)
      }
      keyed.takeOver(now, forgetSubmission)
      calls.takeOver(now, forgetSubmission)
    },
    size: () => taskCount
  }
}
