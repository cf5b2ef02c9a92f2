/** What really ran in a rehearsal, and the promises that it broke. */
import type { JobAnswer } from '@baobabpost/dispatching'
import type { UpstreamObserver } from './leased-upstream.js'

/** The record of a rehearsal. */
export interface RunLog extends UpstreamObserver {
  /** A caller got a final answer to one sending of a job. */
  answered: (job: string, answer: JobAnswer, withdrawn: boolean) => void
  /** Promises that were broken, in words. */
  readonly violations: string[]
  /** Answers by kind. */
  readonly answers: Map<JobAnswer['kind'], number>
  /** Starts by task. */
  readonly starts: Map<string, number>
}

/**
 * Makes the record of a rehearsal.
 *
 * @example
 * const ledger = createRunLedger(() => performance.now())
 */
export function createRunLog (now: () => number): RunLog {
  const running = new Map<string, string>()
  const starts = new Map<string, number>()
  const startedOf = new Map<string, Set<string>>()
  const done = new Set<string>()
  const answers = new Map<JobAnswer['kind'], number>()
  const refused = new Map<string, boolean>()
  const violations: string[] = []

  function violate (text: string): void {
    violations.push(`${Math.round(now())} ms: ${text}`)
  }

  function jobOf (task: string): string {
    return task.slice(0, task.indexOf('.'))
  }

  return {
    violations,
    answers,
    starts,
    started: (upstream, task, overCapacity) => {
      if (overCapacity) violate(`${upstream} is over its capacity with ${task}`)
      const other = running.get(task)
      if (other !== undefined) violate(`${task} starts at ${upstream} and still runs at ${other}`)
      if (refused.get(jobOf(task)) === true) violate(`${task} starts after its job was refused`)
      running.set(task, upstream)
      starts.set(task, (starts.get(task) ?? 0) + 1)
      const tasks = startedOf.get(jobOf(task)) ?? new Set()
      startedOf.set(jobOf(task), tasks.add(task))
    },
    ended: (upstream, task, kind) => {
      if (running.get(task) === upstream) running.delete(task)
      if (kind === 'done') done.add(task)
    },
    answered: (job, answer, withdrawn) => {
      if (withdrawn) return
      answers.set(answer.kind, (answers.get(answer.kind) ?? 0) + 1)
      const started = [...startedOf.get(job) ?? []]
      if (answer.kind === 'refused' && !refused.has(job)) {
        if (started.length > 0) violate(`${job} is refused, and ${started[0]} has run`)
        refused.set(job, true)
      }
      if (answer.kind === 'completed') {
        const open = started.filter(task => !done.has(task))
        if (open.length > 0 || started.length === 0) violate(`${job} is completed without ${open[0] ?? 'a start'}`)
      }
    }
  }
}
