/**
 * Contract of the submissions at their owner.
 *
 * All times are Unix milliseconds. A waiter is a caller of this entry or a forward of another entry; the entry
 * names it by a text of its own and gets each waiter's result exactly once.
 */
import type { AgentIdentity, Invariants, SubmissionKey } from '@baobabpost/common'
import type {
  DispatchGroup, JobRequest, JsonRecord, OperationResult, SubmissionAnswer, SubmissionHandover, SubmissionRecord,
  SubmissionReport, TaskOutcome, TaskSelection
} from '@baobabpost/messages'
import type { PartitionState } from '@baobabpost/ownership'

/** What configuration makes of a job: where it goes and with which parameters. */
export interface ResolvedJob {
  readonly service: string
  readonly team: string
  readonly path: string
  readonly timeoutMilliseconds: number
  readonly parameters: JsonRecord
  readonly urgent: boolean
  /** Time after which no task of the job may start. */
  readonly startBefore: number
  readonly expectedMilliseconds: number
}

/** A submission as it arrived. */
export interface SubmitOperation {
  readonly waiter: string
  readonly submission: SubmissionKey
  readonly customer: string
  readonly request: JobRequest
  readonly digest: string
  /** Time until which the waiter waits for the whole answer. */
  readonly waitUntil: number
}

/** A query for, or a cancellation of, a submission. */
export interface AskOperation {
  readonly waiter: string
  readonly submission: SubmissionKey
  readonly customer: string
  readonly waitUntil: number
}

/** Tasks that are to wait in the queue. */
export interface WaitingTasks {
  readonly submission: SubmissionKey
  readonly customer: string
  readonly template: string
  readonly job: ResolvedJob
  readonly indexes: readonly number[]
  /** Agents that refused the task at `indexes[i]` and would refuse it again; undefined where none did. */
  readonly excludedAgents: readonly (readonly AgentIdentity[] | undefined)[]
}

/** Whether the queue takes new tasks. */
export type QueueDecision =
  | { readonly kind: 'admitted' }
  | {
    readonly kind: 'refused'
    readonly reason: 'overloaded' | 'quota' | 'deadline'
    readonly retryAfterMilliseconds: number
  }

/** Result of reading a job against the configuration. */
export type JobResolution =
  | { readonly kind: 'resolved', readonly job: ResolvedJob }
  | { readonly kind: 'refused', readonly result: OperationResult }

/** A submission all of whose tasks have their outcome. */
export interface FinishedSubmission {
  readonly submission: SubmissionKey
  readonly customer: string
  readonly template: string
  readonly state: SubmissionAnswer['state']
  /** Time since this entry first knew of the submission. */
  readonly responseMilliseconds: number
  /** What kept it from being complete, the gravest first: an unknown outcome, a task that did not run, a failure. */
  readonly cause: 'outcome-unknown' | 'not-run' | 'failed' | undefined
}

/** What the submissions need from the rest of the entry. */
export interface OutcomesPorts {
  readonly partitionState: (partition: number) => PartitionState
  /** Whether this entry may tell that a task did not run; an owner that may be superseded may not. */
  readonly mayDeclareNotRun: (now: number) => boolean
  /** Resolves a job; called once a submission is accepted or adopted, not for one that joins. */
  readonly resolve: (request: JobRequest, now: number) => JobResolution
  /** Offers the tasks of a new submission to the queue: all or none. */
  readonly offer: (tasks: WaitingTasks, now: number) => QueueDecision
  /** Puts tasks that were admitted before back into the queue. */
  readonly restore: (tasks: WaitingTasks, now: number) => void
  /** Takes waiting tasks out of the queue: those with the given indexes, or all of the submission. */
  readonly removeWaiting: (submission: SubmissionKey, indexes?: ReadonlySet<number>) => void
  /** Asks agents never to start tasks; called at most once an agent and `flush`. */
  readonly withdraw: (agent: AgentIdentity, selections: readonly TaskSelection[], now: number) => void
  /** An agent that keyed work may go to, to keep the record of a cancellation; undefined where there is none. */
  readonly recordingAgent?: () => AgentIdentity | undefined
  /** Asks for tasks to be sent again to the agent that they were dispatched to. */
  readonly resend: (agent: AgentIdentity, submission: SubmissionKey, indexes: readonly number[], now: number) => void
  /** A submission was accepted, or a resubmission joined it. */
  readonly submissionArrived?: (step: 'accepted' | 'joined') => void
  /** Tells a waiter its result; the waiter is forgotten. */
  readonly answer: (waiter: string, result: OperationResult, now: number) => void
  /** The partition moved away: these waiters have to ask its next owner. They are forgotten. */
  readonly reroute: (waiters: readonly string[], submission: SubmissionKey, now: number) => void
  /** Told once of each submission whose last task got its outcome here. */
  readonly submissionFinished?: (finished: FinishedSubmission, now: number) => void
}

/** Settings of the submissions at their owner. */
export interface OutcomesOptions {
  readonly ports: OutcomesPorts
  readonly invariants: Invariants
  readonly keyWindowMilliseconds: number
  readonly clockSkewMilliseconds: number
  /** Time for which tasks that lost their body wait for a resubmission that brings it. */
  readonly adoptionWindowMilliseconds?: number
  /** Time after which a dispatch without a report is sent again; it doubles each time. */
  readonly resendMilliseconds?: number
  /** Time after which a caller that was told `running` or `outcome-unknown` should ask again. */
  readonly retryAfterMilliseconds?: number
}

/** What an owner did with one task of a report, so that placement learns of it. */
export interface SettledTask {
  readonly submission: string
  readonly index: number
  readonly outcome: TaskOutcome
  readonly runMilliseconds: number
  /** `finished`: the outcome is final. `requeued`: it did not start and waits again. */
  readonly effect: 'finished' | 'requeued'
}

/** What came of a report about one submission. */
export interface ReportResult {
  /** Whether the report may be acknowledged; one that came before the takeover settled has to be repeated. */
  readonly acknowledge: boolean
  readonly settled: readonly SettledTask[]
}

/** One step in the life of a submission. */
export interface SubmissionStep {
  /** Unix time in milliseconds. */
  readonly at: number
  readonly step: 'accepted' | 'joined' | 'dispatched' | 'refused' | 'requeued' | 'resent' | 'taken-over' | 'adopted'
    | 'handed-over' | 'cancelled' | 'agent-lost' | 'expired' | 'finished' | 'answered' | 'waiting-for-body'
  /** Number of tasks that the step is about. */
  readonly tasks: number
  readonly agent?: AgentIdentity
  readonly reason?: string
}

/** Why a submission is where it is. */
export interface SubmissionExplanation {
  readonly submission: string
  readonly customer: string
  readonly template: string
  readonly taskCount: number
  readonly finishedCount: number
  readonly waitingCount: number
  readonly dispatchedCount: number
  readonly cancelled: boolean
  readonly steps: readonly SubmissionStep[]
  /** Steps left out because the list is bounded. */
  readonly omittedSteps: number
}

/** Submissions at their owner. */
export interface Outcomes {
  submit: (operation: SubmitOperation, now: number) => void
  query: (operation: AskOperation, now: number) => void
  cancel: (operation: AskOperation, now: number) => void
  /** Forgets a waiter whose caller broke off. */
  abandon: (waiter: string, submission: SubmissionKey) => void
  /** Whether the task still waits here, so that it may be dispatched now. */
  isWaiting: (submission: string, index: number) => boolean
  /** Notes tasks as dispatched to an agent and builds the group to send; undefined where none of them waits. */
  dispatch: (
    submission: string, indexes: readonly number[], agent: AgentIdentity, epoch: number, leaseEnd: number, now: number
  ) => DispatchGroup | undefined
  /** Builds the group for a repetition to the same agent; undefined where nothing is to repeat. */
  buildResendGroup: (
    submission: string, indexes: readonly number[], agent: AgentIdentity, epoch: number, leaseEnd: number
  ) => DispatchGroup | undefined
  report: (agent: AgentIdentity, report: SubmissionReport, now: number) => ReportResult
  /** Tasks whose time to start passed while they waited in the queue. */
  tasksExpired: (submission: string, indexes: readonly number[], now: number) => void
  /** The agent is gone for good; its unfinished tasks have an unknown outcome. */
  agentDeparted: (agent: AgentIdentity, now: number) => void
  /** Takes in what an agent knows. */
  recordsCollected: (agent: AgentIdentity, records: readonly SubmissionRecord[], now: number) => void
  /** Takes in a change of a partition's state. */
  partitionChanged: (partition: number, state: PartitionState, now: number) => void
  exportPartition: (partition: number, now: number) => readonly SubmissionHandover[]
  importPartition: (partition: number, submissions: readonly SubmissionHandover[], now: number) => void
  /** Sends the withdrawals that were gathered in this turn. */
  flush: (now: number) => void
  /** Does what time brings. Call it about every 50 milliseconds. */
  tick: (now: number) => void
  explain: (submission: string) => SubmissionExplanation | undefined
  /** Counts for operators; it looks at every submission, so it is nothing for each turn of the loop. */
  counts: () => { readonly remembered: number, readonly unfinished: number, readonly waiters: number }
}
