/** Tells entries the outcomes of their tasks, again and again until each is acknowledged. */
import type { EntryIdentity } from '@baobabpost/common'
import type { Outbox, SubmissionReport, TaskReport } from '@baobabpost/messages'
import type { EntryBook } from './entry-registry.js'
import type { PartitionEpochs } from './partition-epochs.js'
import { NO_PARTITION, type EntryState, type SubmissionState, type TaskState } from './task-state.js'

/** The reports of an agent. */
export interface Reporter {
  /** A task finished: its outcome goes into the next report to the entry that it belongs to. */
  finished: (task: TaskState, now: number) => void
  /** Reports the outcome of a finished task once more, unless it is on the way. */
  repeat: (task: TaskState, now: number) => void
  /** Reports again all that the former owner of a submission may not have got. */
  reroute: (submission: SubmissionState, now: number) => void
  acknowledge: (entry: EntryState, sequences: readonly number[]) => void
  /** Sends what is ready, one report for each entry. */
  flush: (now: number) => void
  /** Repeats what was not acknowledged in time. */
  repeatDue: (now: number) => void
  /** An entry is gone: its single calls have nobody left to be told to; keyed work waits for the next owner. */
  dropEntry: (entry: EntryState) => void
  /** Nobody needs the outcome any more, delivered or not. */
  abandon: (task: TaskState) => void
  /** Number of outcomes that no entry acknowledged. */
  undelivered: () => number
}

/** What the reports work on. */
export interface ReporterOptions {
  readonly outbox: Outbox
  readonly entries: EntryBook
  readonly epochs: PartitionEpochs
  readonly resendMilliseconds: number
  /** An entry acknowledged the outcome of the task, for the first time. */
  readonly onDelivered: (task: TaskState) => void
}

const MAXIMUM_REPORT_TASKS = 500
const MAXIMUM_REPORT_BYTES = 4_194_304
const MAXIMUM_DOUBLINGS = 4

function reportOf (task: TaskState): TaskReport | undefined {
  if (task.outcome === undefined) return undefined
  const { index, outcome, runMilliseconds, attempt } = task
  // What ran, ran whatever the attempt, and what was withdrawn is withdrawn in every attempt.
  const isOfOneAttempt = outcome.status === 'not-run' && outcome.reason !== 'withdrawn' && attempt !== undefined
  return isOfOneAttempt ? { index, outcome, runMilliseconds, attempt } : { index, outcome, runMilliseconds }
}

/** Splits tasks so that each part stays within the bounds of one report. */
function splitReport (tasks: readonly TaskState[]): TaskState[][] {
  const parts: TaskState[][] = []
  let part: TaskState[] = []
  let bytes = 0
  for (const task of tasks) {
    if (part.length === MAXIMUM_REPORT_TASKS || (part.length > 0 && bytes + task.answerBytes > MAXIMUM_REPORT_BYTES)) {
      parts.push(part)
      part = []
      bytes = 0
    }
    part.push(task)
    bytes += task.answerBytes
  }
  if (part.length > 0) parts.push(part)
  return parts
}

/**
 * Makes the reports of an agent.
 *
 * @example
 * reporter.finished(task, now)
 * reporter.flush(now)
 */
export function createReporter (options: ReporterOptions): Reporter {
  const { outbox, entries, epochs, resendMilliseconds } = options
  const withReady = new Set<EntryState>()
  let sequence = 0
  let undelivered = 0

  function routeOf (submission: SubmissionState): EntryIdentity {
    if (submission.fenced || submission.partition === NO_PARTITION) return submission.caller
    return epochs.owner(submission.partition) ?? submission.caller
  }

  function enqueue (task: TaskState, now: number): void {
    const route = routeOf(task.submission)
    if (task.reportingTo?.identity === route) return
    const entry = entries.find(route) ?? entries.heard(route, now)
    task.reportingTo = entry
    entry.ready.push(task)
    withReady.add(entry)
  }

  function settle (task: TaskState): void {
    if (task.delivered) return
    task.delivered = true
    undelivered -= 1
    options.onDelivered(task)
  }

  function submissionReport (submission: SubmissionState): { report: SubmissionReport, tasks: TaskReport[] } {
    const tasks: TaskReport[] = []
    const { key, partition } = submission
    if (partition === NO_PARTITION) return { report: { submission: key, tasks }, tasks }
    const ownership = { partition, epoch: epochs.highest(partition) }
    return { report: { submission: key, ownership, tasks }, tasks }
  }

  function send (entry: EntryState, number: number, tasks: readonly TaskState[]): void {
    const groups = new Map<SubmissionState, { report: SubmissionReport, tasks: TaskReport[] }>()
    for (const task of tasks) {
      const report = reportOf(task)
      if (report === undefined) continue
      let group = groups.get(task.submission)
      if (group === undefined) {
        group = submissionReport(task.submission)
        groups.set(task.submission, group)
      }
      group.tasks.push(report)
    }
    entry.toldWindow = entry.window
    const submissions = Array.from(groups.values(), group => group.report)
    outbox.send(entry.identity, { method: 'report', parameters: { sequence: number, submissions, window: entry.window } })
  }

  return {
    finished (task, now) {
      undelivered += 1
      enqueue(task, now)
    },
    repeat: enqueue,
    reroute (submission, now) {
      for (const task of submission.tasks.values()) {
        if (task.state === 'finished' && !task.delivered) enqueue(task, now)
      }
    },
    acknowledge (entry, sequences) {
      for (const number of sequences) {
        const sent = entry.unacknowledged.get(number)
        if (sent === undefined) continue
        entry.unacknowledged.delete(number)
        for (const task of sent.tasks) {
          if (task.reportingTo !== entry) continue
          task.reportingTo = undefined
          settle(task)
        }
      }
    },
    flush (now) {
      for (const entry of withReady) {
        const tasks = entry.ready.filter(task => task.reportingTo === entry)
        entry.ready = []
        for (const part of splitReport(tasks)) {
          sequence += 1
          entry.unacknowledged.set(sequence, { tasks: part, repeatAt: now + resendMilliseconds, repetitions: 0 })
          send(entry, sequence, part)
        }
      }
      withReady.clear()
    },
    repeatDue (now) {
      for (const entry of entries.all().values()) {
        for (const [number, sent] of entry.unacknowledged) {
          if (sent.repeatAt > now) continue
          sent.tasks = sent.tasks.filter(task => task.reportingTo === entry)
          if (sent.tasks.length === 0) {
            entry.unacknowledged.delete(number)
            continue
          }
          sent.repetitions += 1
          sent.repeatAt = now + resendMilliseconds * 2 ** Math.min(sent.repetitions, MAXIMUM_DOUBLINGS)
          send(entry, number, sent.tasks)
        }
      }
    },
    dropEntry (entry) {
      withReady.delete(entry)
      const reports = Array.from(entry.unacknowledged.values(), sent => sent.tasks)
      for (const task of [entry.ready, ...reports].flat()) {
        if (task.reportingTo !== entry) continue
        task.reportingTo = undefined
        if (task.submission.fenced || task.submission.partition === NO_PARTITION) settle(task)
      }
    },
    abandon (task) {
      task.reportingTo = undefined
      if (task.state === 'finished') settle(task)
    },
    undelivered: () => undelivered
  }
}
