/**
 * Messages between the system's processes.
 *
 * Each is a JSON-RPC notification whose method is the key in `LINK_SCHEMAS`. The sender's identity comes with the
 * link. Every message may be lost, late, repeated or out of order; every receiver bears that.
 */
import { AgentIdentity, EntryIdentity, Name, SubmissionKey } from '@baobabpost/common'
import { Schema } from 'effect'
import { JobRequest, Problem, SubmissionAnswer } from './caller.js'
import { JsonRecord, Milliseconds, NonNegativeInt } from './json.js'
import { Explanation } from './operator.js'
import { TaskOutcome } from './outcome.js'
import { RegisterValue } from './register.js'

/** Partition and epoch under which keyed work is dispatched; the epoch is the version of the partition's register. */
export const PartitionEpoch = Schema.Struct({ partition: NonNegativeInt, epoch: NonNegativeInt })
export type PartitionEpoch = typeof PartitionEpoch.Type

/** What an agent needs to keep about a submission, so that a new owner can take it over. */
export const SubmissionHeader = Schema.Struct({
  /** A submission key, or the identity of a single call. */
  submission: Schema.String,
  /** Digest of the body. */
  digest: Schema.String,
  taskCount: NonNegativeInt,
  customer: Name,
  template: Name
})
export type SubmissionHeader = typeof SubmissionHeader.Type

/** One task of a dispatch: its place in the submission and its input. */
export const DispatchTask = Schema.Struct({
  index: NonNegativeInt,
  input: JsonRecord,
  /**
   * Number of this dispatch of the task: it rises with each dispatch and with the epoch. A refusal holds for its
   * attempt and all lower ones, so that a delayed copy stays refused while a later attempt may come to the same agent.
   */
  attempt: Schema.optionalKey(NonNegativeInt)
})
export type DispatchTask = typeof DispatchTask.Type

/** Tasks of one submission for one agent. */
export const DispatchGroup = Schema.Struct({
  header: SubmissionHeader,
  /** Absent for single calls, which no partition owns. */
  ownership: Schema.optionalKey(PartitionEpoch),
  path: Schema.String,
  timeoutMilliseconds: Milliseconds,
  /** Parameters of template and customer; a task's input goes over them. */
  parameters: JsonRecord,
  urgent: Schema.Boolean,
  /** Unix time after which no task of the group may start. */
  startBefore: Milliseconds,
  tasks: Schema.Array(DispatchTask)
})
export type DispatchGroup = typeof DispatchGroup.Type

/** Entry to agent: run these tasks. Idempotent: a task that the agent knows is not started again. */
export const Dispatch = Schema.Struct({
  groups: Schema.Array(DispatchGroup),
  /** Tasks waiting at the entry for this service, by which the agent shares out its window. */
  backlog: NonNegativeInt
})
export type Dispatch = typeof Dispatch.Type

/** Names tasks of one submission. */
export const TaskSelection = Schema.Struct({
  submission: Schema.String,
  indexes: Schema.Array(NonNegativeInt),
  /**
   * Who withdraws, so that an agent that does not know the tasks keeps a record of the withdrawal that a next owner
   * can collect. Absent for single calls.
   */
  origin: Schema.optionalKey(Schema.Struct({ header: SubmissionHeader, ownership: PartitionEpoch }))
})
export type TaskSelection = typeof TaskSelection.Type

/** Entry to agent: never start these tasks; report each as not run, or as what became of it. */
export const Withdraw = Schema.Struct({ selections: Schema.Array(TaskSelection) })
export type Withdraw = typeof Withdraw.Type

/** Outcome of one task with the time that the upstream needed. */
export const TaskReport = Schema.Struct({
  index: NonNegativeInt,
  outcome: TaskOutcome,
  /** Attempt of the dispatch that a `not-run` answers. */
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

/** Agent to entry: outcomes, repeated until acknowledged, and the number of unfinished tasks allowed to this entry. */
export const Report = Schema.Struct({
  sequence: NonNegativeInt,
  submissions: Schema.Array(SubmissionReport),
  window: NonNegativeInt
})
export type Report = typeof Report.Type

/** Entry to agent: the reports with these sequence numbers were taken in. */
export const Acknowledge = Schema.Struct({ sequences: Schema.Array(NonNegativeInt) })
export type Acknowledge = typeof Acknowledge.Type

/** Entry to agent: the sender owns these partitions from now on; fence lower epochs and tell all that is known. */
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

/** Agent to entry: a part of the answer to `collect`; the answer is whole once all `parts` parts came. */
export const Collected = Schema.Struct({
  partitions: Schema.Array(PartitionEpoch),
  part: NonNegativeInt,
  parts: NonNegativeInt,
  submissions: Schema.Array(SubmissionRecord)
})
export type Collected = typeof Collected.Type

/** Agent to entry, as a heartbeat: what the agent is and whether it takes new work. */
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
  /** Log offset up to which the agent has configuration. */
  configurationPosition: NonNegativeInt
})
export type Announce = typeof Announce.Type

/** An entry's identity and where links reach it. */
export const EntryAddress = Schema.Struct({ identity: EntryIdentity, address: Schema.String })
export type EntryAddress = typeof EntryAddress.Type

/** Entry to agent: answer to a heartbeat. */
export const Announced = Schema.Struct({
  sequence: NonNegativeInt,
  /** `joined`: keyed work may come. `pending`: not on the log yet. `departed`: it must start nothing more. */
  standing: Schema.Literals(['joined', 'pending', 'departed']),
  /** All entries that the agent should announce itself to. */
  entries: Schema.Array(EntryAddress),
  /** Registers that changed since the agent's position, and the position they bring it to. */
  registers: Schema.Array(RegisterValue),
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
  /** Of the agents that other entries suspect, those that the sender heard from lately. */
  heardAgents: Schema.Array(AgentIdentity)
})
export type EntryHeartbeat = typeof EntryHeartbeat.Type

/** Entry to entry: answer to a heartbeat, with registers newer than the asker's position. */
export const EntryHeartbeatAnswer = Schema.Struct({
  sequence: NonNegativeInt,
  position: NonNegativeInt,
  registers: Schema.Array(RegisterValue)
})
export type EntryHeartbeatAnswer = typeof EntryHeartbeatAnswer.Type

/** What an entry may ask the owner of a submission for. */
export const ForwardedOperation = Schema.Union([
  Schema.Struct({ kind: Schema.Literal('submit'), request: JobRequest, digest: Schema.String }),
  Schema.Struct({ kind: Schema.Literal('query') }),
  Schema.Struct({ kind: Schema.Literal('cancel') }),
  Schema.Struct({ kind: Schema.Literal('explain') })
])
export type ForwardedOperation = typeof ForwardedOperation.Type

/** Entry to owner: an operation that arrived elsewhere. Repeated until answered; `forward` names it. */
export const Forward = Schema.Struct({
  forward: NonNegativeInt,
  submission: SubmissionKey,
  customer: Name,
  operation: ForwardedOperation,
  /** Unix time until which the sender's caller waits for the whole answer. */
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

/** A submission as one owner hands it to the next. */
export const SubmissionHandover = Schema.Struct({
  header: SubmissionHeader,
  partition: NonNegativeInt,
  /** The body, where the owner has it; a job taken over from agents may lack it. */
  request: Schema.optionalKey(JobRequest),
  cancelled: Schema.Boolean,
  /** State by task: waiting, dispatched to an agent, or finished. */
  tasks: Schema.Array(Schema.Union([
    Schema.Struct({ state: Schema.Literal('waiting') }),
    Schema.Struct({ state: Schema.Literal('dispatched'), agent: AgentIdentity }),
    Schema.Struct({ state: Schema.Literal('finished'), outcome: TaskOutcome })
  ]))
})
export type SubmissionHandover = typeof SubmissionHandover.Type

/** Stopping owner to next owner: all that it knows of partitions in which it starts nothing more. */
export const Handover = Schema.Struct({
  /** Partitions with the epochs of their next owner. Unknown keys made before `uncertainBefore` may have run. */
  partitions: Schema.Array(Schema.Struct({ ...PartitionEpoch.fields, uncertainBefore: Milliseconds })),
  part: NonNegativeInt,
  parts: NonNegativeInt,
  submissions: Schema.Array(SubmissionHandover)
})
export type Handover = typeof Handover.Type

/** Next owner to stopping owner: these partitions are taken over. */
export const HandoverTaken = Schema.Struct({ partitions: Schema.Array(PartitionEpoch) })
export type HandoverTaken = typeof HandoverTaken.Type

/** Schema of the parameters of every method. */
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

/** Name of a method of a link. */
export type LinkMethod = keyof typeof LINK_SCHEMAS

/** A message of a link: the method and its parameters. */
export type LinkMessage = {
  [Method in LinkMethod]: { readonly method: Method, readonly parameters: (typeof LINK_SCHEMAS)[Method]['Type'] }
}[LinkMethod]
