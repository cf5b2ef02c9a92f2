/** Bounds the bytes of remembered answers: the oldest that an entry has taken in are dropped first. */
import type { TaskOutcome } from '@baobabpost/messages'
import type { TaskState } from './task-state.js'

/** Bytes of the remembered answers. */
export interface AnswerBudget {
  /** A task finished with an answer. */
  finished: (task: TaskState) => void
  /** An entry has taken the answer in: it may be dropped for want of room. */
  delivered: (task: TaskState) => void
  /** The task is forgotten. */
  forgotten: (task: TaskState) => void
  /** Whether answers that no entry has taken in fill the budget. */
  exhausted: () => boolean
}

/** What is left of a dropped answer: the task ran, and the entry that took its answer in is the one to know it. */
const DROPPED_OUTCOME: TaskOutcome = { status: 'outcome-unknown', reason: 'owner-lost' }
const COMPACTION_LENGTH = 1_024

/**
 * Makes the budget of an agent.
 *
 * @param maximumBytes - Most bytes of all remembered answers together, as JSON.
 */
export function createAnswerBudget (maximumBytes: number): AnswerBudget {
  let droppable: TaskState[] = []
  let nextDroppable = 0
  let bytes = 0

  function release (task: TaskState): void {
    bytes -= task.answerBytes
    task.answerBytes = 0
  }

  function trim (): void {
    while (bytes > maximumBytes) {
      const task = droppable[nextDroppable]
      if (task === undefined) return
      nextDroppable += 1
      if (task.answerBytes === 0) continue
      release(task)
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
    finished (task) { bytes += task.answerBytes },
    delivered (task) {
      if (task.answerBytes === 0) return
      droppable.push(task)
      trim()
      compact()
    },
    forgotten: release,
    exhausted: () => bytes > maximumBytes
  }
}
