/** One submission at its owner, with the state of each task in typed arrays. */
import type { AgentIdentity, Invariants, SubmissionKey } from '@baobabpost/common'
import type {
  JobRequest, SubmissionAnswer, SubmissionHeader, TaskOutcome
} from '@baobabpost/messages'
import type { ResolvedJob } from './outcomes.js'
import { createStepLog, type StepLog } from './step-log.js'

/** State of a task at its owner. */
export const TaskState = {
  /** In the queue of this entry, or delayed before it is queued again. */
  waiting: 0,
  /** Sent to an agent that has not reported an outcome. */
  dispatched: 1,
  finished: 2,
  /** Taken over, and no agent has reported it yet. */
  unreported: 3,
  /** Known not to have run, but its input is missing: waits for a resubmission that brings it. */
  missingBody: 4
} as const
export type TaskState = (typeof TaskState)[keyof typeof TaskState]

/** Attempt of a task that this owner has not dispatched itself. */
export const INHERITED_ATTEMPT = 0
const ATTEMPTS_PER_EPOCH = 65_536
const NO_AGENT = -1
const STATE_COUNT = 5

/** Returns a number for an attempt that is greater than those of all attempts under lower epochs. */
export function attemptNumber (epoch: number, attempt: number): number {
  return epoch * ATTEMPTS_PER_EPOCH + attempt
}

/** Tasks of one job that one agent holds. */
export interface HeldTasks {
  readonly agent: AgentIdentity
  readonly agentNumber: number
  count: number
  resendMilliseconds: number
  /** Whether a resend is on the timeline. */
  isScheduled: boolean
  lastSentAt: number
}

export interface Job {
  readonly submission: SubmissionKey
  readonly header: SubmissionHeader
  readonly partition: number
  readonly keyTime: number
  readonly steps: StepLog
  /** Agents that would refuse a task again, by the task's index. */
  readonly excludedAgents: Map<number, AgentIdentity[]>
  /** Number of refusals that don't exclude the agent, by the task's index. */
  readonly refusals: Map<number, number>
  /** Unix time in milliseconds until which each waiter waits. */
  readonly waiters: Map<string, number>
  readonly heldTasks: Map<number, HeldTasks>
  request: JobRequest | undefined
  resolved: ResolvedJob | undefined
  cancelled: boolean
  /** The complete answer, once every task has an outcome. */
  answer: SubmissionAnswer | undefined
  state: (index: number) => TaskState
  agentNumber: (index: number) => number
  attempt: (index: number) => number
  outcome: (index: number) => TaskOutcome | undefined
  count: (state: TaskState) => number
  indexesIn: (state: TaskState) => number[]
  indexesAt: (agentNumber: number) => number[]
  /** Sets the state of a task that no agent holds. */
  setState: (index: number, state: typeof TaskState.waiting | typeof TaskState.missingBody) => void
  /** Marks the task as dispatched; returns its attempt, which only a dispatch of this owner counts up. */
  setDispatched: (index: number, agentNumber: number, isInherited: boolean) => number
  /** Sets the final outcome and returns whether it was the job's last one. A finished task is left unchanged. */
  finish: (index: number, outcome: TaskOutcome) => boolean
  isFinished: () => boolean
}

export interface JobOptions {
  readonly submission: SubmissionKey
  readonly header: SubmissionHeader
  readonly partition: number
  readonly keyTime: number
  readonly initialState: typeof TaskState.waiting | typeof TaskState.unreported
  readonly request: JobRequest | undefined
  readonly resolved: ResolvedJob | undefined
  readonly invariants: Invariants
}

/**
 * Creates a job with all its tasks in one state.
 *
 * @example
 * const job = createJob({ submission, header, partition, keyTime, initialState: TaskState.waiting, … })
 */
export function createJob (options: JobOptions): Job {
  const { header, invariants, submission } = options
  const { taskCount } = header
  const states = new Uint8Array(taskCount).fill(options.initialState)
  const agentNumbers = new Int32Array(taskCount).fill(NO_AGENT)
  const attempts = new Uint16Array(taskCount)
  const outcomes = new Array<TaskOutcome | undefined>(taskCount).fill(undefined)
  const counts = new Int32Array(STATE_COUNT)
  counts[options.initialState] = taskCount

  function stateOf (index: number): TaskState {
    return (states[index] ?? TaskState.finished) as TaskState
  }

  function changeState (index: number, state: TaskState): void {
    counts[stateOf(index)]! -= 1
    counts[state]! += 1
    states[index] = state
  }

  function collectIndexes (condition: (index: number) => boolean): number[] {
    const indexes: number[] = []
    for (let index = 0; index < taskCount; index += 1) {
      if (condition(index)) indexes.push(index)
    }
    return indexes
  }

  function checkUnfinished (index: number, action: string): boolean {
    const unfinished = index < taskCount && states[index] !== TaskState.finished
    invariants.check(unfinished, 'finished-task-stays', () => `${submission}/${index} was finished before ${action}`)
    return unfinished
  }

  return {
    submission,
    header,
    partition: options.partition,
    keyTime: options.keyTime,
    steps: createStepLog(),
    excludedAgents: new Map(),
    refusals: new Map(),
    waiters: new Map(),
    heldTasks: new Map(),
    request: options.request,
    resolved: options.resolved,
    cancelled: false,
    answer: undefined,
    state: stateOf,
    agentNumber: index => agentNumbers[index] ?? NO_AGENT,
    attempt: index => attempts[index] ?? INHERITED_ATTEMPT,
    outcome: index => outcomes[index],
    count: state => counts[state] ?? 0,
    indexesIn: state => collectIndexes(index => states[index] === state),
    indexesAt: agentNumber => collectIndexes(index =>
      states[index] === TaskState.dispatched && agentNumbers[index] === agentNumber),
    setState (index, state) {
      if (!checkUnfinished(index, 'a change of its state')) return
      agentNumbers[index] = NO_AGENT
      changeState(index, state)
    },
    setDispatched (index, agentNumber, isInherited) {
      if (!checkUnfinished(index, 'its dispatch')) return INHERITED_ATTEMPT
      agentNumbers[index] = agentNumber
      if (!isInherited) attempts[index]! += 1
      changeState(index, TaskState.dispatched)
      return attempts[index] ?? INHERITED_ATTEMPT
    },
    finish (index, outcome) {
      if (!checkUnfinished(index, 'its outcome')) return false
      outcomes[index] = outcome
      changeState(index, TaskState.finished)
      return counts[TaskState.finished] === taskCount
    },
    isFinished: () => counts[TaskState.finished] === taskCount
  }
}
