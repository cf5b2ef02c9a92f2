/**
 * Messages between entries and agents, sent over links.
 *
 * Each is a JSON-RPC notification whose method is its key in `LINK_SCHEMAS`. The link provides the sender's identity.
 * A message may be lost, delayed, repeated or reordered, and every receiver must handle that.
 */
import { AgentIdentity, EntryIdentity, Name, SubmissionKey } from '@baobabpost/common'
import { Schema } from 'effect'
import { JobRequest, Problem, SubmissionAnswer } from './caller.js'
import { JsonRecord, Milliseconds, NonNegativeInt } from './json.js'
import { MAXIMUM_TASKS_PER_JOB } from './limits.js'
import { Explanation } from './operator.js'
import { TaskOutcome } from './outcome.js'
import { RegisterValue } from './register.js'

/** Partition of a submission key, and the epoch of its owner, which is the version of the partition's register. */
export const PartitionEpoch = Schema.Struct({ partition: NonNegativeInt, epoch: NonNegativeInt })
export type PartitionEpoch = typeof PartitionEpoch.Type

/** Number of tasks of a submission. Its owner allocates a state for each, so that a larger number ends the process. */
const TaskCount = Schema.Int.check(Schema.isBetween({ minimum: 0, maximum: MAXIMUM_TASKS_PER_JOB }))

/** Data of a submission that an agent keeps, so that a new owner of the partition can take the submission over. */
export const SubmissionHeader = Schema.Struct({
  /** A submission key, or the identity of a single call. */
  submission: Schema.String,
  /** Digest of the request body. */
  digest: Schema.String,
  taskCount: TaskCount,
  customer: Name,
  template: Name
})
export type SubmissionHeader = typeof SubmissionHeader.Type

/** One task of a dispatch: its index in the submission and its input. */
export const DispatchTask = Schema.Struct({
  index: NonNegativeInt,
  input: JsonRecord,
  /**
   * Number of this dispatch of the task, which increases with each dispatch and with the epoch. A refusal applies to
   * its attempt and all lower ones. A delayed copy thus stays refused, while a later attempt may go to the same agent.
   */
  attempt: Schema.optionalKey(NonNegativeInt)
})
export type DispatchTask = typeof DispatchTask.Type

/** Tasks of one submission for one agent. */
export const DispatchGroup = Schema.Struct({
  header: SubmissionHeader,
  /** Absent for single calls, which belong to no partition. */
  ownership: Schema.optionalKey(PartitionEpoch),
  path: Schema.String,
  timeoutMilliseconds: Milliseconds,
  /** Merged parameters of the template and the customer; a task's input overrides them. */
  parameters: JsonRecord,
  urgent: Schema.Boolean,
  /** Unix time after which no task of the group may start. */
  startBefore: Milliseconds,
  tasks: Schema.Array(DispatchTask)
})
export type DispatchGroup = typeof DispatchGroup.Type

/** Entry to agent: run these tasks. Idempotent: the agent does not start a task again that it already knows. */
export const Dispatch = Schema.Struct({
  groups: Schema.Array(DispatchGroup),
  /** Number of tasks waiting at the entry for this service; the agent divides its window among entries by it. */
  backlog: NonNegativeInt
})
export type Dispatch = typeof Dispatch.Type

/** A selection of tasks of one submission. */
export const TaskSelection = Schema.Struct({
  submission: Schema.String,
  indexes: Schema.Array(NonNegativeInt),
  /**
   * Submission and ownership of the withdrawal. With them, an agent that does not know the tasks can record the
   * withdrawal, and a later owner can collect it. Absent for single calls.
   */
  origin: Schema.optionalKey(Schema.Struct({ header: SubmissionHeader, ownership: PartitionEpoch }))
})
export type TaskSelection = typeof TaskSelection.Type

/** Entry to agent: never start these tasks; report each as not run, or with its outcome if it has already run. */
export const Withdraw = Schema.Struct({ selections: Schema.Array(TaskSelection) })
export type Withdraw = typeof Withdraw.Type

/** Outcome of one task with the time that the upstream took. */
export const TaskReport = Schema.Struct({
  index: NonNegativeInt,
  outcome: TaskOutcome,
  /** Attempt number of the dispatch that a `not-run` outcome answers. */
  attempt: Schema.optionalKey(NonNegativeInt),
  runMilliseconds: Schema.Finite
})
export type TaskReport = typeof TaskReport.Type

/** Outcomes of tasks of one submission. */
export const SubmissionReport = Schema.Struct({
  submission: Schema.String,
  ownership: Schema.optionalKey(PartitionEpoch),
  tasks: Schema.Array(TaskReport)
})
export type SubmissionReport = typeof SubmissionReport.Type

/** Agent to entry: outcomes, repeated until acknowledged, and the number of unfinished tasks this entry may have. */
export const Report = Schema.Struct({
  sequence: NonNegativeInt,
  submissions: Schema.Array(SubmissionReport),
  window: NonNegativeInt
})
export type Report = typeof Report.Type

/** Entry to agent: the reports with these sequence numbers were processed. */
export const Acknowledge = Schema.Struct({ sequences: Schema.Array(NonNegativeInt) })
export type Acknowledge = typeof Acknowledge.Type

/** Entry to agent: the sender now owns these partitions; reject lower epochs and report every known submission. */
export const Collect = Schema.Struct({ partitions: Schema.Array(PartitionEpoch) })
export type Collect = typeof Collect.Type

/** What an agent knows of one task. */
export const TaskRecord = Schema.Struct({
  index: NonNegativeInt,
  state: Schema.Literals(['queued', 'running', 'finished']),
  outcome: Schema.optionalKey(TaskOutcome)
})
export type TaskRecord = typeof TaskRecord.Type

/** What an agent knows of one submission. */
export const SubmissionRecord = Schema.Struct({
  header: SubmissionHeader,
  partition: NonNegativeInt,
  tasks: Schema.Array(TaskRecord)
})
export type SubmissionRecord = typeof SubmissionRecord.Type

/** Agent to entry: one part of the answer to `collect`; the answer is complete once all `parts` have arrived. */
export const Collected = Schema.Struct({
  partitions: Schema.Array(PartitionEpoch),
  part: NonNegativeInt,
  parts: NonNegativeInt,
  submissions: Schema.Array(SubmissionRecord)
})
export type Collected = typeof Collected.Type

/** Agent to entry, as a heartbeat: describes the agent and whether it accepts new work. */
export const Announce = Schema.Struct({
  identity: AgentIdentity,
  address: Schema.String,
  service: Name,
  failureDomain: Name,
  slots: NonNegativeInt,
  connections: NonNegativeInt,
  state: Schema.Literals(['active', 'leaving']),
  /** Number of this heartbeat; the answer repeats it. */
  sequence: NonNegativeInt,
  window: NonNegativeInt,
  /** Log offset up to which the agent has applied configuration. */
  configurationPosition: NonNegativeInt
})
export type Announce = typeof Announce.Type

/** An entry's identity and its link address. */
export const EntryAddress = Schema.Struct({ identity: EntryIdentity, address: Schema.String })
export type EntryAddress = typeof EntryAddress.Type

/** Entry to agent: answer to a heartbeat. */
export const Announced = Schema.Struct({
  sequence: NonNegativeInt,
  /** `joined`: may get keyed work. `pending`: not registered on the log yet. `departed`: must start no more tasks. */
  standing: Schema.Literals(['joined', 'pending', 'departed']),
  /** All entries that the agent should announce itself to. */
  entries: Schema.Array(EntryAddress),
  /** Registers that changed since the agent's configuration position. */
  registers: Schema.Array(RegisterValue),
  /** Configuration position of the agent once it has applied `registers`. */
  configurationPosition: NonNegativeInt
})
export type Announced = typeof Announced.Type

/** Entry to entry, as a heartbeat. */
export const EntryHeartbeat = Schema.Struct({
  identity: EntryIdentity,
  address: Schema.String,
  failureDomain: Name,
  state: Schema.Literals(['ready', 'stopping']),
  sequence: NonNegativeInt,
  /** Log offset up to which the sender has applied records. */
  position: NonNegativeInt,
  /** Agents that the sender suspects. */
  suspectedAgents: Schema.Array(AgentIdentity),
  /** Agents suspected by other entries that the sender has had recent contact with. */
  heardAgents: Schema.Array(AgentIdentity)
})
export type EntryHeartbeat = typeof EntryHeartbeat.Type

/** Entry to entry: answer to a heartbeat, with the registers newer than the position of the entry that asked. */
export const EntryHeartbeatAnswer = Schema.Struct({
  sequence: NonNegativeInt,
  position: NonNegativeInt,
  registers: Schema.Array(RegisterValue)
})
export type EntryHeartbeatAnswer = typeof EntryHeartbeatAnswer.Type

/** An operation on a submission that an entry forwards to the owner of the submission. */
export const ForwardedOperation = Schema.Union([
  Schema.Struct({ kind: Schema.Literal('submit'), request: JobRequest, digest: Schema.String }),
  Schema.Struct({ kind: Schema.Literal('query') }),
  Schema.Struct({ kind: Schema.Literal('cancel') }),
  Schema.Struct({ kind: Schema.Literal('explain') })
])
export type ForwardedOperation = typeof ForwardedOperation.Type

/** Entry to owner: an operation that a caller sent to another entry. Repeated until answered; `forward` is its id. */
export const Forward = Schema.Struct({
  forward: NonNegativeInt,
  submission: SubmissionKey,
  customer: Name,
  operation: ForwardedOperation,
  /** Unix time until which the caller waits for the complete answer. */
  waitUntil: Milliseconds
})
export type Forward = typeof Forward.Type

/** Owner's answer to a forwarded operation. */
export const OperationResult = Schema.Union([
  Schema.Struct({ kind: Schema.Literal('answer'), answer: SubmissionAnswer }),
  Schema.Struct({ kind: Schema.Literal('explanation'), explanation: Explanation }),
  Schema.Struct({ kind: Schema.Literal('problem'), problem: Problem })
])
export type OperationResult = typeof OperationResult.Type

/** Owner to entry: the result of a forwarded operation. */
export const Forwarded = Schema.Struct({ forward: NonNegativeInt, submission: SubmissionKey, result: OperationResult })
export type Forwarded = typeof Forwarded.Type

/** State of a submission that the owner of its partition sends to the next owner. */
export const SubmissionHandover = Schema.Struct({
  header: SubmissionHeader,
  partition: NonNegativeInt,
  /** The request body, if the owner has it; a job collected from agents in a takeover may lack it. */
  request: Schema.optionalKey(JobRequest),
  cancelled: Schema.Boolean,
  /** State of each task: waiting, dispatched to an agent, or finished. */
  tasks: Schema.Array(Schema.Union([
    Schema.Struct({ state: Schema.Literal('waiting') }),
    Schema.Struct({ state: Schema.Literal('dispatched'), agent: AgentIdentity }),
    Schema.Struct({ state: Schema.Literal('finished'), outcome: TaskOutcome })
  ]))
})
export type SubmissionHandover = typeof SubmissionHandover.Type

/** Stopping owner to next owner: all submissions of partitions in which the sender starts no more tasks. */
export const Handover = Schema.Struct({
  /**
   * Partitions with the epochs of their next owner. A submission that is unknown to the next owner may have run if its
   * key was created before `uncertainBefore`.
   */
  partitions: Schema.Array(Schema.Struct({ ...PartitionEpoch.fields, uncertainBefore: Milliseconds })),
  part: NonNegativeInt,
  parts: NonNegativeInt,
  submissions: Schema.Array(SubmissionHandover)
})
export type Handover = typeof Handover.Type

/** Next owner to stopping owner: the handover of these partitions is complete. */
export const HandoverTaken = Schema.Struct({ partitions: Schema.Array(PartitionEpoch) })
export type HandoverTaken = typeof HandoverTaken.Type

/** Schema of the parameters of each link method. */
export const LINK_SCHEMAS = {
  dispatch: Dispatch,
  withdraw: Withdraw,
  report: Report,
  acknowledge: Acknowledge,
  collect: Collect,
  collected: Collected,
  announce: Announce,
  announced: Announced,
  entryHeartbeat: EntryHeartbeat,
  entryHeartbeatAnswer: EntryHeartbeatAnswer,
  forward: Forward,
  forwarded: Forwarded,
  handover: Handover,
  handoverTaken: HandoverTaken
} as const

export type LinkMethod = keyof typeof LINK_SCHEMAS

/** A link message: the method and its parameters. */
export type LinkMessage = {
  [Method in LinkMethod]: { readonly method: Method, readonly parameters: (typeof LINK_SCHEMAS)[Method]['Type'] }
}[LinkMethod]
