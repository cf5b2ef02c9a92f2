/** What an agent keeps of tasks, submissions and entries while it runs. */
import type { EntryIdentity } from '@baobabpost/common'
import type { DispatchGroup, JsonRecord, SubmissionHeader, TaskOutcome } from '@baobabpost/messages'

/** What is kept of a task only until it is finished. */
export interface TaskWork {
  /** The group by which it came, for path, parameters, time-out and `startBefore`. */
  readonly group: DispatchGroup
  readonly input: JsonRecord
  /** Entry in whose window the task counts. */
  holder: EntryState
  /** Epoch under which it may start; 0 for single calls. */
  epoch: number
  /** Unix time at which the upstream's answer is given up. */
  giveUpAt: number
  aborted: boolean
  /** It was withdrawn while it ran: if it proves not to have run, no later attempt may run either. */
  withdrawn: boolean
}

/** One remembered task. */
export interface TaskState {
  readonly submission: SubmissionState
  readonly index: number
  /** Number of the dispatch by which it came; undefined where its owner numbers none. */
  readonly attempt: number | undefined
  state: 'queued' | 'running' | 'finished'
  /** Unix time of its start; 0 for a task that never started. */
  startedAt: number
  runMilliseconds: number
  outcome: TaskOutcome | undefined
  answerBytes: number
  /** Entry to which its outcome is on the way. */
  reportingTo: EntryState | undefined
  /** Whether an entry acknowledged the outcome. */
  delivered: boolean
  work: TaskWork | undefined
}

/** One remembered submission, or single call. */
export interface SubmissionState {
  readonly key: string
  /** Missing where only a withdrawal came so far. */
  header: SubmissionHeader | undefined
  /** `NO_PARTITION` for single calls, and for withdrawals ahead of their dispatch. */
  partition: number
  /** Entry that is told the outcomes where no partition names an owner. */
  caller: EntryIdentity
  readonly tasks: Map<number, TaskState>
  /** Whether this stands for a refused dispatch of a former owner: the sender is told, nothing is remembered. */
  readonly fenced: boolean
  /** Unix time of the last event. */
  touchedAt: number
  /** Latest Unix time before which a dispatch allowed a start. */
  startBefore: number
  unfinished: number
}

/** Partition of a submission that no partition owns. */
export const NO_PARTITION = -1

/** A report that waits for its acknowledgement. */
export interface SentReport {
  tasks: readonly TaskState[]
  /** Unix time of the next repetition. */
  repeatAt: number
  repetitions: number
}

/** What is kept of an entry. */
export interface EntryState {
  readonly identity: EntryIdentity
  address: string | undefined
  /** Unix time at which it last spoke or was named by an entry. */
  namedAt: number
  /** Finished tasks that go into its next report. */
  ready: TaskState[]
  readonly unacknowledged: Map<number, SentReport>
  /** Its tasks that are queued or running here. */
  unfinished: number
  /** Tasks that waited there, as it last told, and when. */
  backlog: number
  backlogAt: number
  /** Unfinished tasks allowed to it. */
  window: number
  /** The window that it was last told. */
  toldWindow: number
  /** Unix time of the last announcement to it. */
  announcedAt: number
  /** Whether it acknowledged an announcement that this agent leaves: it dispatches nothing more. */
  knowsLeaving: boolean
}

/** Makes the state of a task that the agent has just met. */
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
    delivered: false,
    work: undefined
  }
}

/** Makes the state of a submission that the agent has just met. */
export function createSubmissionState (
  key: string, header: SubmissionHeader | undefined, partition: number, caller: EntryIdentity, now: number
): SubmissionState {
  return {
    key,
    header,
    partition,
    caller,
    tasks: new Map(),
    fenced: false,
    touchedAt: now,
    startBefore: 0,
    unfinished: 0
  }
}

/** Makes the stand-in for a submission whose dispatch came from a former owner. */
export function createFencedSubmission (
  header: SubmissionHeader, partition: number, caller: EntryIdentity
): SubmissionState {
  return { ...createSubmissionState(header.submission, header, partition, caller, 0), fenced: true }
}

/** Makes the state of an entry that the agent has just met. */
export function createEntryState (identity: EntryIdentity, now: number): EntryState {
  return {
    identity,
    address: undefined,
    namedAt: now,
    ready: [],
    unacknowledged: new Map(),
    unfinished: 0,
    backlog: 0,
    backlogAt: 0,
    window: 0,
    toldWindow: 0,
    announcedAt: 0,
    knowsLeaving: false
  }
}
