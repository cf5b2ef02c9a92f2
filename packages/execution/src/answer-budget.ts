/** Limits the bytes of stored answers: drops the oldest that an entry has acknowledged first. */
import type { TaskOutcome } from '@baobabpost/messages'
import type { TaskState } from './task-state.js'

export interface AnswerBudget {
  /** Counts the answer of a finished task. */
  addAnswer: (task: TaskState) => void
  /** Allows the answer to be dropped when the budget is exceeded: its outcome was acknowledged or discarded. */
  markDroppable: (task: TaskState) => void
  /** Stops counting the answer of a task that is no longer remembered. */
  releaseAnswer: (task: TaskState) => void
  /** Whether unacknowledged answers alone exceed the budget. */
  isExhausted: () => boolean
}

/** Outcome of a task whose answer was dropped: the task ran, and only the entry that acknowledged knows the answer. */
const DROPPED_OUTCOME: TaskOutcome = { status: 'outcome-unknown', reason: 'owner-lost' }
const COMPACTION_LENGTH = 1_024

/**
 * Creates an empty budget.
 *
 * @param maximumBytes - Maximum total size of the stored answers, as JSON.
 */
export function createAnswerBudget (maximumBytes: number): AnswerBudget {
  let droppable: TaskState[] = []
  let nextDroppable = 0
  let bytes = 0

  function releaseAnswer (task: TaskState): void {
    bytes -= task.answerBytes
    task.answerBytes = 0
  }

  function dropOverBudget (): void {
    while (bytes > maximumBytes) {
      const task = droppable[nextDroppable]
      if (task === undefined) return
      nextDroppable += 1
      if (task.answerBytes === 0) continue
      releaseAnswer(task)
      task.outcome = DROPPED_OUTCOME
    }
  }

  function compact (): void {
    while (droppable[nextDroppable]?.answerBytes === 0) nextDroppable += 1
    if (nextDroppable < COMPACTION_LENGTH || nextDroppable * 2 < droppable.length) return
    droppable = droppable.slice(nextDroppable)
    nextDroppable = 0
  }

  return {
    addAnswer (task) { bytes += task.answerBytes },
    markDroppable (task) {
      if (task.answerBytes === 0) return
      droppable.push(task)
      dropOverBudget()
      compact()
    },
    releaseAnswer,
    isExhausted: () => bytes > maximumBytes
  }
}
