/** Sends a new owner the records of all remembered tasks of its partitions, in parts of bounded size. */
import type { EntryIdentity } from '@baobabpost/common'
import type { Collected, Outbox, PartitionEpoch, SubmissionRecord, TaskRecord } from '@baobabpost/messages'
import type { TaskMemory } from './task-memory.js'
import type { SubmissionState, TaskState } from './task-state.js'

/** Answers `collect` messages. */
export interface Collector {
  /** Sends all parts of the answer. A repeated collect gets the same split, so parts of both can be combined. */
  answer: (to: EntryIdentity, partitions: readonly PartitionEpoch[], now: number) => void
  /** Removes the splits that no collect has used within the retention period. */
  removeExpired: (now: number) => void
}

/** Division of one answer into parts. */
interface Split {
  readonly parts: readonly (readonly TaskState[])[]
  usedAt: number
}

const MAXIMUM_PART_TASKS = 500
const MAXIMUM_PART_BYTES = 4_194_304
const SPLIT_RETENTION_MILLISECONDS = 60_000

/** Current record of a task; a later attempt may have replaced the task since the split was made. */
function recordOf (task: TaskState): TaskRecord {
  const { index, state, outcome } = task.submission.tasks.get(task.index) ?? task
  return outcome === undefined ? { index, state } : { index, state, outcome }
}

function recordsOf (tasks: readonly TaskState[]): SubmissionRecord[] {
  const records = new Map<SubmissionState, TaskRecord[]>()
  for (const task of tasks) {
    const known = records.get(task.submission)
    if (known === undefined) records.set(task.submission, [recordOf(task)])
    else known.push(recordOf(task))
  }
  const submissions: SubmissionRecord[] = []
  for (const [{ header, partition }, taskRecords] of records) {
    if (header !== undefined) submissions.push({ header, partition, tasks: taskRecords })
  }
  return submissions
}

function splitTasks (memory: TaskMemory, partitions: readonly PartitionEpoch[]): TaskState[][] {
  const parts: TaskState[][] = [[]]
  let bytes = 0
  for (const { partition } of partitions) {
    for (const submission of memory.inPartition(partition)) {
      for (const task of submission.tasks.values()) {
        const part = parts.at(-1)!
        const isFull = part.length === MAXIMUM_PART_TASKS || bytes + task.answerBytes > MAXIMUM_PART_BYTES
        if (isFull && part.length > 0) {
          parts.push([task])
          bytes = task.answerBytes
        } else {
          part.push(task)
          bytes += task.answerBytes
        }
      }
    }
  }
  return parts
}

/**
 * @example
 * collector.answer(entry, [{ partition: 7, epoch: 120 }], now)
 */
export function createCollector (memory: TaskMemory, outbox: Outbox): Collector {
  const splits = new Map<string, Split>()

  function splitOf (key: string, partitions: readonly PartitionEpoch[], now: number): Split {
    const known = splits.get(key)
    if (known !== undefined) {
      known.usedAt = now
      return known
    }
    const split = { parts: splitTasks(memory, partitions), usedAt: now }
    splits.set(key, split)
    return split
  }

  return {
    answer (to, partitions, now) {
      const ordered = [...partitions].sort((left, right) => left.partition - right.partition)
      const key = [to, ...ordered.map(({ partition, epoch }) => `${partition}:${epoch}`)].join(' ')
      const { parts } = splitOf(key, ordered, now)
      for (const [part, tasks] of parts.entries()) {
        const parameters: Collected = { partitions: ordered, part, parts: parts.length, submissions: recordsOf(tasks) }
        outbox.send(to, { method: 'collected', parameters })
      }
    },
    removeExpired (now) {
      for (const [key, split] of splits) {
        if (split.usedAt + SPLIT_RETENTION_MILLISECONDS <= now) splits.delete(key)
      }
    }
  }
}
