/** One submission at its owner: the state of each task, in arrays of small numbers. */
import type { AgentIdentity, Invariants, SubmissionKey } from '@baobabpost/common'
import type {
  JobRequest, SubmissionAnswer, SubmissionHeader, TaskOutcome
} from '@baobabpost/messages'
import type { ResolvedJob } from './outcomes.js'
import { createStepLog, type StepLog } from './step-log.js'

/** What is known of a task. */
export const TaskState = {
  /** In the queue of this entry, or about to return to it. */
  waiting: 0,
  /** Sent to an agent, no outcome yet. */
  dispatched: 1,
  /** Its outcome is final. */
  finished: 2,
  /** Taken over, and no agent has reported it yet. */
  unreported: 3,
  /** Proven not to have run; it waits for a resubmission that brings its input. */
  bodiless: 4
} as const
export type TaskState = (typeof TaskState)[keyof typeof TaskState]

/** Attempt number of a dispatch that was made by an earlier owner. */
export const FOREIGN_ATTEMPT = 0
const ATTEMPTS_PER_EPOCH = 65_536
const NO_AGENT = -1
const STATE_COUNT = 5

/** Numbers an attempt so that it is above all attempts under lower epochs. */
export function attemptNumber (epoch: number, attempt: number): number {
  return epoch * ATTEMPTS_PER_EPOCH + attempt
}

/** Tasks of one job at one agent. */
export interface HeldTasks {
  readonly agent: AgentIdentity
  readonly agentNumber: number
  count: number
  resendMilliseconds: number
  /** Whether a look at it is on the timeline. */
  isScheduled: boolean
  lastSentAt: number
}

/** One submission. */
export interface Job {
  readonly submission: SubmissionKey
  readonly header: SubmissionHeader
  readonly partition: number
  readonly keyTime: number
  readonly steps: StepLog
  /** Agents that refused a task for good, by the index of the task. */
  readonly excludedAgents: Map<number, AgentIdentity[]>
  /** Refusals of a task that may come to the same agent again. */
  readonly refusals: Map<number, number>
  /** Time until which each waiter waits. */
  readonly waiters: Map<string, number>
  readonly held: Map<number, HeldTasks>
  request: JobRequest | undefined
  resolved: ResolvedJob | undefined
  cancelled: boolean
  /** The whole answer, once there is one. */
  answer: SubmissionAnswer | undefined
  state: (index: number) => TaskState
  agentNumber: (index: number) => number
  attempt: (index: number) => number
  outcome: (index: number) => TaskOutcome | undefined
  /** Number of tasks in a state. */
  count: (state: TaskState) => number
  indexesIn: (state: TaskState) => number[]
  /** Indexes of the tasks dispatched to an agent. */
  indexesAt: (agentNumber: number) => number[]
  /** Notes that the task is at no agent. */
  setState: (index: number, state: typeof TaskState.waiting | typeof TaskState.bodiless) => void
  /** Notes a dispatch; gives the attempt's number. */
  setDispatched: (index: number, agentNumber: number, foreign: boolean) => number
  /** Sets the final outcome; tells whether it was the last one. A finished task stays as it is. */
  finish: (index: number, outcome: TaskOutcome) => boolean
  isFinished: () => boolean
}

/** What a job is made from. */
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
 * Makes a job with all its tasks in one state.
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

  function move (index: number, state: TaskState): void {
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
    held: new Map(),
    request: options.request,
    resolved: options.resolved,
    cancelled: false,
    answer: undefined,
    state: stateOf,
    agentNumber: index => agentNumbers[index] ?? NO_AGENT,
    attempt: index => attempts[index] ?? FOREIGN_ATTEMPT,
    outcome: index => outcomes[index],
    count: state => counts[state] ?? 0,
    indexesIn: state => collectIndexes(index => states[index] === state),
    indexesAt: agentNumber => collectIndexes(index =>
      states[index] === TaskState.dispatched && agentNumbers[index] === agentNumber),
    setState (index, state) {
      if (!checkUnfinished(index, 'a change of its state')) return
      agentNumbers[index] = NO_AGENT
      move(index, state)
    },
    setDispatched (index, agentNumber, foreign) {
      if (!checkUnfinished(index, 'its dispatch')) return FOREIGN_ATTEMPT
      agentNumbers[index] = agentNumber
      if (!foreign) attempts[index]! += 1
      move(index, TaskState.dispatched)
      return attempts[index] ?? FOREIGN_ATTEMPT
    },
    finish (index, outcome) {
      if (!checkUnfinished(index, 'its outcome')) return false
      outcomes[index] = outcome
      move(index, TaskState.finished)
      return counts[TaskState.finished] === taskCount
    },
    isFinished: () => counts[TaskState.finished] === taskCount
  }
}
