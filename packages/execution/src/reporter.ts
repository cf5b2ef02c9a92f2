/** Reports the outcomes of tasks to entries, and sends each report again until it is acknowledged. */
import type { EntryIdentity } from '@baobabpost/common'
import type { Outbox, SubmissionReport, TaskReport } from '@baobabpost/messages'
import type { EntryRegistry } from './entry-registry.js'
import type { PartitionEpochs } from './partition-epochs.js'
import { NO_PARTITION, type EntryState, type SubmissionState, type TaskState } from './task-state.js'

export interface Reporter {
  /** Adds the outcome of a finished task to the next report to the entry that owns the task. */
  reportOutcome: (task: TaskState, now: number) => void
  /** Reports the outcome of a finished task again, unless a report to the same entry is under way. */
  resendOutcome: (task: TaskState, now: number) => void
  /** Reports the unacknowledged outcomes of a submission to the current owner of its partition. */
  reportToOwner: (submission: SubmissionState, now: number) => void
  acknowledge: (entry: EntryState, sequences: readonly number[]) => void
  /** Sends the pending outcomes of each entry, in one report unless they exceed its size limit. */
  flush: (now: number) => void
  /** Sends again the reports that were not acknowledged in time. */
  resendDue: (now: number) => void
  /** Drops the reports to an entry that is gone. Outcomes of keyed submissions are kept for the next owner. */
  dropEntry: (entry: EntryState) => void
  /** Stops reporting an outcome that no entry needs any more. */
  discardOutcome: (task: TaskState) => void
  /** Number of outcomes that were neither acknowledged nor discarded. */
  unsettledCount: () => number
}

export interface ReporterOptions {
  readonly outbox: Outbox
  readonly entries: EntryRegistry
  readonly epochs: PartitionEpochs
  readonly resendMilliseconds: number
  /** Called once for each task, when its outcome is first acknowledged or is discarded. */
  readonly onSettled: (task: TaskState) => void
}

const MAXIMUM_REPORT_TASKS = 500
const MAXIMUM_REPORT_BYTES = 4_194_304
const MAXIMUM_RESEND_DOUBLINGS = 4

function taskReportOf (task: TaskState): TaskReport | undefined {
  if (task.outcome === undefined) return undefined
  const { index, outcome, runMilliseconds, attempt } = task
  // An outcome of a task that ran, and a withdrawal, hold for every attempt; other refusals for one attempt only.
  const isForOneAttempt = outcome.status === 'not-run' && outcome.reason !== 'withdrawn' && attempt !== undefined
  return isForOneAttempt ? { index, outcome, runMilliseconds, attempt } : { index, outcome, runMilliseconds }
}

/** Splits tasks so that each part stays within the limits of one report. */
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
 * @example
 * reporter.reportOutcome(task, now)
 * reporter.flush(now)
 */
export function createReporter (options: ReporterOptions): Reporter {
  const { outbox, entries, epochs, resendMilliseconds } = options
  const entriesToReport = new Set<EntryState>()
  let sequence = 0
  let unsettledCount = 0

  function recipientOf (submission: SubmissionState): EntryIdentity {
    if (submission.isStale || submission.partition === NO_PARTITION) return submission.sender
    return epochs.owner(submission.partition) ?? submission.sender
  }

  function enqueue (task: TaskState, now: number): void {
    const recipient = recipientOf(task.submission)
    if (task.reportingTo?.identity === recipient) return
    const entry = entries.find(recipient) ?? entries.recordContact(recipient, now)
    task.reportingTo = entry
    entry.outcomesToReport.push(task)
    entriesToReport.add(entry)
  }

  function settle (task: TaskState): void {
    if (task.isSettled) return
    task.isSettled = true
    unsettledCount -= 1
    options.onSettled(task)
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
      const report = taskReportOf(task)
      if (report === undefined) continue
      let group = groups.get(task.submission)
      if (group === undefined) {
        group = submissionReport(task.submission)
        groups.set(task.submission, group)
      }
      group.tasks.push(report)
    }
    entry.sentWindow = entry.window
    const submissions = Array.from(groups.values(), group => group.report)
    outbox.send(entry.identity, { method: 'report', parameters: { sequence: number, submissions, window: entry.window } })
  }

  return {
    reportOutcome (task, now) {
      unsettledCount += 1
      enqueue(task, now)
    },
    resendOutcome: enqueue,
    reportToOwner (submission, now) {
      for (const task of submission.tasks.values()) {
        if (task.state === 'finished' && !task.isSettled) enqueue(task, now)
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
      for (const entry of entriesToReport) {
        const tasks = entry.outcomesToReport.filter(task => task.reportingTo === entry)
        entry.outcomesToReport = []
        for (const part of splitReport(tasks)) {
          sequence += 1
          entry.unacknowledged.set(sequence, { tasks: part, resendAt: now + resendMilliseconds, resendCount: 0 })
          send(entry, sequence, part)
        }
      }
      entriesToReport.clear()
    },
    resendDue (now) {
      for (const entry of entries.all().values()) {
        for (const [number, sent] of entry.unacknowledged) {
          if (sent.resendAt > now) continue
          sent.tasks = sent.tasks.filter(task => task.reportingTo === entry)
          if (sent.tasks.length === 0) {
            entry.unacknowledged.delete(number)
            continue
          }
          sent.resendCount += 1
          sent.resendAt = now + resendMilliseconds * 2 ** Math.min(sent.resendCount, MAXIMUM_RESEND_DOUBLINGS)
          send(entry, number, sent.tasks)
        }
      }
    },
    dropEntry (entry) {
      entriesToReport.delete(entry)
      const reports = Array.from(entry.unacknowledged.values(), sent => sent.tasks)
      for (const task of [entry.outcomesToReport, ...reports].flat()) {
        if (task.reportingTo !== entry) continue
        task.reportingTo = undefined
        if (task.submission.isStale || task.submission.partition === NO_PARTITION) settle(task)
      }
    },
    discardOutcome (task) {
      task.reportingTo = undefined
      if (task.state === 'finished') settle(task)
    },
    unsettledCount: () => unsettledCount
  }
}
