/** Memory of tasks: nothing that it holds is started a second time. Forgets after the key window. */
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
  /** Forgets the submissions whose last event is older than the window; those with unfinished tasks stay. */
  forget: (now: number, onForgotten: (task: TaskState) => void) => void
  /** Number of tasks remembered. */
  size: () => number
}

/** When a submission is looked at for being forgotten. */
interface Appointment {
  readonly submission: SubmissionState
  readonly dueAt: number
}

const COMPACTION_LENGTH = 1_024

/**
 * Makes the memory of an agent.
 *
 * @param windowMilliseconds - How long a submission is remembered after its last event.
 * @example
 * const memory = createTaskMemory(604_000)
 */
export function createTaskMemory (windowMilliseconds: number): TaskMemory {
  const submissions = new Map<string, SubmissionState>()
  const partitions = new Map<number, Set<SubmissionState>>()
  let appointments: Appointment[] = []
  let nextAppointment = 0
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

  function dropPastAppointments (): void {
    if (nextAppointment < COMPACTION_LENGTH || nextAppointment * 2 < appointments.length) return
    appointments = appointments.slice(nextAppointment)
    nextAppointment = 0
  }

  return {
    find: key => submissions.get(key),
    open (key, header, partition, caller, now) {
      const known = submissions.get(key)
      if (known === undefined) {
        const submission = createSubmissionState(key, header, partition, caller, now)
        submissions.set(key, submission)
        appointments.push({ submission, dueAt: now + windowMilliseconds })
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
      for (;;) {
        const appointment = appointments[nextAppointment]
        if (appointment === undefined || appointment.dueAt > now) break
        nextAppointment += 1
        const { submission } = appointment
        if (submission.unfinished > 0) {
          appointments.push({ submission, dueAt: now + windowMilliseconds })
        } else if (submission.touchedAt + windowMilliseconds > now) {
          appointments.push({ submission, dueAt: submission.touchedAt + windowMilliseconds })
        } else {
          remove(submission)
          for (const task of submission.tasks.values()) onForgotten(task)
        }
      }
      dropPastAppointments()
    },
    size: () => taskCount
  }
}
