/** State that an agent keeps in memory about tasks, submissions and entries. */
import type { EntryIdentity } from '@baobabpost/common'
import type { DispatchGroup, JsonRecord, SubmissionHeader, TaskOutcome } from '@baobabpost/messages'

/** Data of a task that is kept only until the task finishes. */
export interface TaskWork {
  /** Group of the dispatch that brought the task: path, parameters, time-out and `startBefore`. */
  readonly group: DispatchGroup
  readonly input: JsonRecord
  /** Entry whose window the task counts against. */
  entry: EntryState
  /** Epoch under which the task may start; 0 for single calls. */
  epoch: number
  /** Unix time at which the call to the upstream is aborted; 0 before the start. */
  timeoutAt: number
  isAborted: boolean
  /** Whether the task was withdrawn while running: if it never reached the upstream, no later attempt may run. */
  isWithdrawn: boolean
}

export interface TaskState {
  readonly submission: SubmissionState
  readonly index: number
  /** Attempt number of the dispatch that brought the task; undefined if the owner sent no number. */
  readonly attempt: number | undefined
  state: 'queued' | 'running' | 'finished'
  /** Unix time of the start; 0 for a task that never started. */
  startedAt: number
  runMilliseconds: number
  outcome: TaskOutcome | undefined
  answerBytes: number
  /** Entry to which the outcome is being reported; undefined while no report is pending or unacknowledged. */
  reportingTo: EntryState | undefined
  /** Whether an entry acknowledged the outcome, or it was discarded. */
  isSettled: boolean
  work: TaskWork | undefined
}

/** One remembered submission; a single call is a submission of one task. */
export interface SubmissionState {
  readonly key: string
  /** Undefined while only a withdrawal without a header has arrived. */
  header: SubmissionHeader | undefined
  /** `NO_PARTITION` for single calls, and for withdrawals that arrived before their dispatch. */
  partition: number
  /** Entry that sent the first message; receives the outcomes if no owner of a partition is known. */
  sender: EntryIdentity
  readonly tasks: Map<number, TaskState>
  /** Whether this represents a refused dispatch of a former owner: reported to its sender, not remembered. */
  readonly isStale: boolean
  /** Unix time of the last event. */
  lastEventAt: number
  /** Latest `startBefore` of all dispatches, as a Unix time. */
  startBefore: number
  unfinishedCount: number
}

/** Value of `partition` for a submission that belongs to no partition. */
export const NO_PARTITION = -1

/** A report that is not acknowledged yet. */
export interface SentReport {
  tasks: readonly TaskState[]
  /** Unix time at which the report is sent again. */
  resendAt: number
  resendCount: number
}

export interface EntryState {
  readonly identity: EntryIdentity
  address: string | undefined
  /** Unix time at which the entry last sent a message or was listed by an entry. */
  lastSeenAt: number
  /** Finished tasks for the next report to this entry. */
  outcomesToReport: TaskState[]
  readonly unacknowledged: Map<number, SentReport>
  /** Number of its tasks that are queued or running at this agent. */
  unfinishedCount: number
  /** Tasks waiting at the entry, as it last reported. */
  backlog: number
  /** Unix time of that report. */
  backlogReportedAt: number
  /** Maximum number of its unfinished tasks at this agent. */
  window: number
  /** Window that was last sent to the entry. */
  sentWindow: number
  /** Unix time of the last announcement to the entry; 0 before the first. */
  lastAnnouncedAt: number
  /** Whether the entry acknowledged that this agent is leaving, and so dispatches nothing more to it. */
  hasAcknowledgedLeaving: boolean
}

export function createTaskState (
  submission: SubmissionState, index: number, attempt: number | undefined
): TaskState {
  return {
    submission,
    index,
    attempt,
    state: 'queued',
    startedAt: 0,
    runMilliseconds: 0,
    outcome: undefined,
    answerBytes: 0,
    reportingTo: undefined,
    isSettled: false,
    work: undefined
  }
}

export function createSubmissionState (
  key: string, header: SubmissionHeader | undefined, partition: number, sender: EntryIdentity, now: number
): SubmissionState {
  return {
    key,
    header,
    partition,
    sender,
    tasks: new Map(),
    isStale: false,
    lastEventAt: now,
    startBefore: 0,
    unfinishedCount: 0
  }
}

/** Creates the submission that represents a refused dispatch of a former owner; it is not remembered. */
export function createStaleSubmission (
  header: SubmissionHeader, partition: number, sender: EntryIdentity
): SubmissionState {
  return { ...createSubmissionState(header.submission, header, partition, sender, 0), isStale: true }
}

export function createEntryState (identity: EntryIdentity, now: number): EntryState {
  return {
    identity,
    address: undefined,
    lastSeenAt: now,
    outcomesToReport: [],
    unacknowledged: new Map(),
    unfinishedCount: 0,
    backlog: 0,
    backlogReportedAt: 0,
    window: 0,
    sentWindow: 0,
    lastAnnouncedAt: 0,
    hasAcknowledgedLeaving: false
  }
}
