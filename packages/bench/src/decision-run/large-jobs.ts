/** Measures what an entry decides for large jobs, by the clock: the time a task and the longest call. */
import { createScriptedAgents, PLAIN_STEP } from '@baobabpost/rehearsal'
import type { JobStep } from '@baobabpost/dispatching'

const CAPACITY = { processor: 200_000, memory: 200_000, accelerators: 0 }
/** Time in which a play is over, on the clock of the entry. */
const PLAY_MILLISECONDS = 60_000
/** Interval of the answers and ticks of a play. */
const ROUND_MILLISECONDS = 20
/** Runs that an agent reports in one answer. */
const RUNS_PER_ANSWER = 10

/** Shape of a large job: all tasks at once, a step that depends on many, or steps that depend on all earlier ones. */
export type JobShape = 'plain' | 'fan-in' | 'chain'

export interface LargeJobOptions {
  readonly shape: JobShape
  readonly tasks: number
  readonly agents: number
  /** Whether the upstream with the most tasks crashes once all of them are sent. */
  readonly isCrashed?: boolean
}

export interface LargeJobCost {
  readonly microsecondsPerTask: number
  /** Time of the longest call of the dispatcher, which is one turn of an entry's event loop. */
  readonly longestMilliseconds: number
}

function stepsOf ({ shape, tasks }: LargeJobOptions): JobStep[] {
  if (shape === 'plain') return [{ ...PLAIN_STEP, taskCount: tasks }]
  const earlierSteps = (count: number): number[] => Array.from({ length: count }, (_, number) => number)
  if (shape === 'chain') {
    return earlierSteps(tasks / 20).map(number => ({ ...PLAIN_STEP, taskCount: 20, dependsOn: earlierSteps(number) }))
  }
  const first = earlierSteps(tasks / 5).map(() => PLAIN_STEP)
  return [...first, { ...PLAIN_STEP, taskCount: tasks - first.length, dependsOn: earlierSteps(first.length) }]
}

/**
 * Plays a job against an entry's dispatcher and measures the calls.
 *
 * @throws Error if the job is not completed.
 * @example
 * measureLargeJob({ shape: 'plain', tasks: 2_000, agents: 8 }).microsecondsPerTask
 */
export function measureLargeJob (options: LargeJobOptions): LargeJobCost {
  let total = 0
  let longestMilliseconds = 0
  const agents = createScriptedAgents({
    agents: options.agents,
    capacity: CAPACITY,
    runTurn: (_name, turn) => {
      const startedAt = performance.now()
      turn()
      const milliseconds = performance.now() - startedAt
      total += milliseconds
      longestMilliseconds = Math.max(longestMilliseconds, milliseconds)
    }
  })
  agents.submit({ id: '5c0e7a21d94b36f8', steps: stepsOf(options) }, 0)
  let now = ROUND_MILLISECONDS
  if (options.isCrashed === true) {
    now = agents.acceptAll(options.tasks, now)
    agents.crash(agents.busiest(), now)
  }
  for (; agents.answers.length === 0 && now < PLAY_MILLISECONDS; now += ROUND_MILLISECONDS) {
    agents.acceptStarts(now)
    for (const name of agents.names()) agents.endRuns(name, 'done', RUNS_PER_ANSWER, now)
    agents.tick(now)
  }
  const [answer] = agents.answers
  if (answer?.kind !== 'completed') throw new Error(`expected a completed job, got ${answer?.kind ?? 'no answer'}`)
  return { microsecondsPerTask: 1_000 * total / options.tasks, longestMilliseconds }
}
