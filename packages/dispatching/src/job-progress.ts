/** Counts of a job's tasks, so that no decision about one of them looks at all of them. */
import type { JobStep, JobTask } from './job-task.js'

/** Progress of one step. */
interface StepProgress {
  /** Its tasks, in their order. */
  readonly tasks: JobTask[]
  /** Number of its tasks that are not done. */
  openCount: number
  /** Number of the steps that it depends on which are not done. */
  openDependencyCount: number
  /** Steps that depend on it; one that names it twice is there twice. */
  readonly dependents: StepProgress[]
  /** Number of its assigned tasks by agent; only kept where the tasks on one upstream are limited. */
  readonly assignedByAgent: Map<string, number>
}

/** Progress of a job, kept by `task-changes.ts`. */
export interface JobProgress {
  readonly steps: readonly StepProgress[]
  /** Tasks that wait to be sent. */
  readonly waiting: Set<JobTask>
  /** Number of the waiting tasks that may have started before. */
  startedWaitingCount: number
  /** Longest estimate of the waiting tasks, in milliseconds; undefined if they have changed since it was found. */
  longestWaitingMilliseconds: number | undefined
  /** Number of tasks that are not done. */
  openCount: number
  /** Number of tasks that are assigned or being stopped. */
  assignedCount: number
  /** Whether a run of any task has ended or may have started. */
  hasStarted: boolean
}

function createSteps (steps: readonly JobStep[], tasks: readonly JobTask[]): StepProgress[] {
  const created: StepProgress[] = []
  for (const { taskCount, dependsOn } of steps) {
    const step: StepProgress = {
      tasks: [], openCount: taskCount, openDependencyCount: 0, dependents: [], assignedByAgent: new Map()
    }
    for (const number of dependsOn) {
      const dependency = created[number]
      if (dependency === undefined || dependency.openCount === 0) continue
      dependency.dependents.push(step)
      step.openDependencyCount += 1
    }
    created.push(step)
  }
  for (const task of tasks) created[task.stepNumber]?.tasks.push(task)
  return created
}

/**
 * Creates the progress of a job whose tasks are all blocked, and lets those wait that depend on nothing.
 *
 * @example
 * createJobProgress(request.steps, tasks).waiting.size // number of the tasks that can be sent at once
 */
export function createJobProgress (steps: readonly JobStep[], tasks: readonly JobTask[]): JobProgress {
  const progress: JobProgress = {
    steps: createSteps(steps, tasks),
    waiting: new Set(),
    startedWaitingCount: 0,
    longestWaitingMilliseconds: undefined,
    openCount: tasks.length,
    assignedCount: 0,
    hasStarted: false
  }
  for (const { openDependencyCount, tasks: tasksOfStep } of progress.steps) {
    if (openDependencyCount > 0) continue
    for (const task of tasksOfStep) {
      task.state = 'waiting'
      progress.waiting.add(task)
    }
  }
  return progress
}

/** Returns the waiting tasks in the order of the job. */
export function waitingTasks ({ waiting }: JobProgress): JobTask[] {
  return [...waiting].sort((left, right) => left.position - right.position)
}

/** Returns the longest estimate of the waiting tasks, in milliseconds; 0 without any. */
export function longestWaitingMilliseconds (progress: JobProgress): number {
  if (progress.longestWaitingMilliseconds !== undefined) return progress.longestWaitingMilliseconds
  let longest = 0
  for (const { step } of progress.waiting) longest = Math.max(longest, step.estimateMilliseconds)
  progress.longestWaitingMilliseconds = longest
  return longest
}

/** Returns the task with a name, of a job whose identity the name begins with. */
export function findTask ({ steps }: JobProgress, name: string): JobTask | undefined {
  const [, , step, index] = name.split('.')
  return steps[Number(step)]?.tasks[Number(index)]
}

/** Returns the identity of the job that a task's name begins with. */
export function jobOfTask (name: string): string {
  return name.slice(0, name.indexOf('.'))
}
