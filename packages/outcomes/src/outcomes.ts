/**
 * Types of the submissions at their owner.
 *
 * All times are Unix milliseconds. A waiter is a caller of this entry or an operation that another entry forwarded.
 * The entry chooses the waiter's name, an opaque text, and gets the result of each waiter exactly once.
 */
import type { AgentIdentity, Invariants, SubmissionKey } from '@baobabpost/common'
import type {
  DispatchGroup, JobRequest, JsonRecord, OperationResult, SubmissionAnswer, SubmissionHandover, SubmissionRecord,
  SubmissionReport, TaskOutcome, TaskSelection
} from '@baobabpost/messages'
import type { PartitionState } from '@baobabpost/ownership'

/** A job after it was resolved against the configuration: where its tasks go and with which parameters. */
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

/** A caller's request to submit a job under a key. */
export interface SubmitOperation {
  readonly waiter: string
  readonly submission: SubmissionKey
  readonly customer: string
  readonly request: JobRequest
  readonly digest: string
  /** Time until which the waiter waits for the complete answer. */
  readonly waitUntil: number
}

/** A query for, or a cancellation of, a submission that was made before. */
export interface ExistingSubmissionOperation {
  readonly waiter: string
  readonly submission: SubmissionKey
  readonly customer: string
  readonly waitUntil: number
}

/** Tasks to put into the queue. */
export interface WaitingTasks {
  readonly submission: SubmissionKey
  readonly customer: string
  readonly template: string
  readonly job: ResolvedJob
  readonly indexes: readonly number[]
  /** Agents that refused the task at `indexes[i]` and would refuse it again; undefined where none did. */
  readonly excludedAgents: readonly (readonly AgentIdentity[] | undefined)[]
}

/** Whether the queue admits the tasks of a new submission. */
export type QueueDecision =
  | { readonly kind: 'admitted' }
  | {
    readonly kind: 'refused'
    readonly reason: 'overloaded' | 'quota' | 'deadline' | 'evacuated'
    readonly retryAfterMilliseconds: number
  }

/** Result of resolving a job against the configuration. */
export type JobResolution =
  | { readonly kind: 'resolved', readonly job: ResolvedJob }
  | { readonly kind: 'refused', readonly result: OperationResult }

/** A submission all of whose tasks have their outcome. */
export interface FinishedSubmission {
  readonly submission: SubmissionKey
  readonly customer: string
  readonly template: string
  readonly state: SubmissionAnswer['state']
  /** Time since this entry learned of the submission. */
  readonly responseMilliseconds: number
  /** Gravest reason why its state is not `complete`: unknown before not run before failed; undefined if it is. */
  readonly cause: 'outcome-unknown' | 'not-run' | 'failed' | undefined
}

/** Functions of the entry that the submissions call. */
export interface OutcomesPorts {
  readonly partitionState: (partition: number) => PartitionState
  /** Whether this entry may declare tasks as not run; an owner that may have been superseded may not. */
  readonly mayDeclareNotRun: (now: number) => boolean
  /** Resolves a job; called once a submission is accepted or adopted, not for one that joins. */
  readonly resolve: (request: JobRequest, now: number) => JobResolution
  /** Offers the tasks of a new submission to the queue, which admits all or none of them. */
  readonly offer: (tasks: WaitingTasks, now: number) => QueueDecision
  /** Puts tasks that were admitted before back into the queue. */
  readonly restore: (tasks: WaitingTasks, now: number) => void
  /** Removes waiting tasks from the queue: those with the given indexes, or all of the submission. */
  readonly removeWaiting: (submission: SubmissionKey, indexes?: ReadonlySet<number>) => void
  /** Asks an agent never to start the tasks; called at most once for each agent and `flush`. */
  readonly withdraw: (agent: AgentIdentity, selections: readonly TaskSelection[], now: number) => void
  /** Returns a joined agent that can record a cancellation, or undefined if there is none. */
  readonly recordingAgent?: () => AgentIdentity | undefined
  /** Sends tasks again to the agent that they were dispatched to. */
  readonly resend: (agent: AgentIdentity, submission: SubmissionKey, indexes: readonly number[], now: number) => void
  /** Called when a submission was accepted, or when a resubmission joined it. */
  readonly submissionArrived?: (step: 'accepted' | 'joined') => void
  /** Sends a waiter its result, after the waiter was removed here. */
  readonly answer: (waiter: string, result: OperationResult, now: number) => void
  /** Called when the partition moved away: the waiters, already removed here, have to ask its current owner. */
  readonly reroute: (waiters: readonly string[], submission: SubmissionKey, now: number) => void
  /** Called once for each submission whose last task got its outcome at this entry. */
  readonly submissionFinished?: (finished: FinishedSubmission, now: number) => void
}

export interface OutcomesOptions {
  readonly ports: OutcomesPorts
  readonly invariants: Invariants
  readonly keyWindowMilliseconds: number
  readonly clockSkewMilliseconds: number
  /** Time for which tasks that were taken over without their body wait for a resubmission that brings it. */
  readonly adoptionWindowMilliseconds?: number
  /** Time after which a dispatch without a report is sent again; doubles with each resend. */
  readonly resendMilliseconds?: number
  /** Time after which a caller that got `running` or `outcome-unknown` should ask again. */
  readonly retryAfterMilliseconds?: number
}

/** What an owner did with one task of a report; reported to placement. */
export interface SettledTask {
  readonly submission: string
  readonly index: number
  readonly outcome: TaskOutcome
  readonly runMilliseconds: number
  /** `finished`: the outcome is final. `requeued`: it did not start and waits again. */
  readonly effect: 'finished' | 'requeued'
}

/** Result of handling a report about one submission. */
export interface ReportResult {
  /** Whether the report may be acknowledged; if not, it came during a takeover and the agent has to repeat it. */
  readonly acknowledge: boolean
  readonly settled: readonly SettledTask[]
}

/** One recorded step of a submission. */
export interface SubmissionStep {
  /** Unix time in milliseconds. */
  readonly at: number
  readonly step: 'accepted' | 'joined' | 'dispatched' | 'refused' | 'requeued' | 'resent' | 'taken-over' | 'adopted'
    | 'handed-over' | 'cancelled' | 'agent-lost' | 'expired' | 'finished' | 'answered' | 'waiting-for-body'
  /** Number of tasks that took the step. */
  readonly tasks: number
  readonly agent?: AgentIdentity
  readonly reason?: string
}

/** State of a submission and the steps that led to it. */
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

export interface Outcomes {
  submit: (operation: SubmitOperation, now: number) => void
  query: (operation: ExistingSubmissionOperation, now: number) => void
  cancel: (operation: ExistingSubmissionOperation, now: number) => void
  /** Removes a waiter whose caller has disconnected; the submission goes on. */
  abandon: (waiter: string, submission: SubmissionKey) => void
  /** Whether the task is waiting at this owner, so that it may be dispatched. */
  isWaiting: (submission: string, index: number) => boolean
  /** Marks tasks as dispatched to an agent; returns the group to send, or undefined if none of them waits. */
  dispatch: (
    submission: string, indexes: readonly number[], agent: AgentIdentity, epoch: number, leaseEnd: number, now: number
  ) => DispatchGroup | undefined
  /** Builds the group to send to the same agent again; undefined if it holds none of the tasks. */
  buildResendGroup: (
    submission: string, indexes: readonly number[], agent: AgentIdentity, epoch: number, leaseEnd: number
  ) => DispatchGroup | undefined
  report: (agent: AgentIdentity, report: SubmissionReport, now: number) => ReportResult
  /** Finishes as not run the tasks whose `startBefore` passed while they waited in the queue. */
  tasksExpired: (submission: string, indexes: readonly number[], now: number) => void
  /** Finishes the tasks of an agent that departed with an unknown outcome. */
  agentDeparted: (agent: AgentIdentity, now: number) => void
  /** Applies an agent's records of tasks during a takeover. */
  recordsCollected: (agent: AgentIdentity, records: readonly SubmissionRecord[], now: number) => void
  partitionChanged: (partition: number, state: PartitionState, now: number) => void
  exportPartition: (partition: number, now: number) => readonly SubmissionHandover[]
  importPartition: (partition: number, submissions: readonly SubmissionHandover[], now: number) => void
  /** Sends the withdrawals that were added in this turn of the event loop. */
  flush: (now: number) => void
  /** Handles the timers that are due. Must be called about every 50 milliseconds. */
  tick: (now: number) => void
  explain: (submission: string) => SubmissionExplanation | undefined
  /** Counts for operators. Visits every submission, so it is too slow for each turn of the event loop. */
  counts: () => { readonly remembered: number, readonly unfinished: number, readonly waiters: number }
}
