/** Jobs and their tasks at the entry that accepted them. */
import { createJobProgress, type JobProgress } from './job-progress.js'
import type { JobStep, JobTask } from './job-task.js'

export type { Assignment, JobStep, JobTask, TaskState } from './job-task.js'

/** A job as a caller submits it. */
export interface JobRequest {
  /** Chosen by the caller, which uses it again when it resubmits the job. */
  readonly id: string
  /** Name of the route that matched the request. */
  readonly route: string
  readonly service: string
  /** 0 goes first. */
  readonly priority: number
  readonly specification: string
  readonly steps: readonly JobStep[]
  /** Failed runs of a task after which the job has failed. */
  readonly maximumAttempts: number
  /** Multiple of the longest chain of estimated work that the objective allows. */
  readonly stretch: number
  /** Added to that multiple of the longest chain to give the objective. */
  readonly targetLatencyMilliseconds: number
  /** On the entry's steady clock, in milliseconds. */
  readonly arrivedAt: number
  /** Time after which the caller no longer waits for the answer, on the entry's steady clock in milliseconds. */
  readonly deadlineAt: number
}

/**
 * Final answer to a job.
 *
 * - `completed`: every task was done;
 * - `failed`: a task failed in its maximum number of attempts;
 * - `refused`: no task ran or will run;
 * - `given-up`: the job is not known to be done; tasks may have run, and none runs for longer than a lease from now.
 */
export type JobAnswer =
  | { readonly kind: 'completed' }
  | { readonly kind: 'failed', readonly task: string }
  | { readonly kind: 'refused', readonly reason: string, readonly retryAfterMilliseconds: number }
  | { readonly kind: 'given-up', readonly reason: string }

/** A job and its state at the entry. */
export interface Job {
  readonly request: JobRequest
  readonly tasks: readonly JobTask[]
  readonly progress: JobProgress
  /** Response time, from the arrival of the job, that the entry aims to stay within. */
  readonly objectiveMilliseconds: number
  /**
   * Place among the waiting jobs of its priority: when the job arrived or, if its caller has returned as told by an
   * earlier refusal, when it first arrived. On the entry's steady clock, in milliseconds.
   */
  readonly place: number
  /** Position of the first task that the next pass plans, if it is late and a pass had to leave some out. */
  nextLatePosition: number
  /** Whether the job was found unable to meet its objective. */
  isLate: boolean
  /**
   * When the tasks that had not started were released, since the job could not be in time for lack of capacity;
   * undefined before. On the entry's steady clock, in milliseconds.
   */
  releasedAt: number | undefined
  /** Number of calls in which an agent refused tasks of the job for lack of capacity. */
  refusedOrders: number
  isAnswered: boolean
  readonly answer: (answer: JobAnswer) => void
  /** Resubmission of the job that starts when the runs of this one have been stopped. */
  successor: Job | undefined
}

/** A task together with its job. */
export interface TaskOfJob {
  readonly job: Job
  readonly task: JobTask
}

/** Whether any task of a job has run, is running, or may still start. */
export function mayHaveRun ({ progress }: Job): boolean {
  return progress.hasStarted || progress.assignedCount > 0
}

/** Longest chain of estimated work through the steps of a job, in milliseconds. */
function longestChainMilliseconds (steps: readonly JobStep[]): number {
  const chainMilliseconds: number[] = []
  for (const step of steps) {
    const dependencyChains = step.dependsOn.map(number => chainMilliseconds[number] ?? 0)
    chainMilliseconds.push(step.estimateMilliseconds + Math.max(0, ...dependencyChains))
  }
  return Math.max(0, ...chainMilliseconds)
}

function createTasks (request: JobRequest): JobTask[] {
  const tasks: JobTask[] = []
  for (const [stepNumber, step] of request.steps.entries()) {
    for (let index = 0; index < step.taskCount; index += 1) {
      tasks.push({
        name: `${request.id}.0.${stepNumber}.${index}`,
        step,
        stepNumber,
        position: tasks.length,
        state: 'blocked',
        assignment: undefined,
        lastRun: 0,
        failures: 0,
        mayHaveStarted: false,
        notBefore: 0,
        avoidedAgents: new Set(),
        heldBy: undefined
      })
    }
  }
  return tasks
}

/**
 * Creates the state of a job from a request.
 *
 * @param answer - Called once, with the final answer.
 * @param options - Place kept from an earlier refusal, and factor on the estimates, since the objective is
 *   a multiple of the tasks' true length.
 * @example
 * const job = createJob(request, answer => { respond(answer) })
 */
export function createJob (
  request: JobRequest,
  answer: (answer: JobAnswer) => void,
  options: { readonly estimateFactor?: number, readonly place?: number | undefined } = {}
): Job {
  const { estimateFactor = 1, place = request.arrivedAt } = options
  const tasks = createTasks(request)
  return {
    request,
    tasks,
    progress: createJobProgress(request.steps, tasks),
    objectiveMilliseconds:
      request.stretch * estimateFactor * longestChainMilliseconds(request.steps) + request.targetLatencyMilliseconds,
    place,
    nextLatePosition: 0,
    isLate: false,
    releasedAt: undefined,
    refusedOrders: 0,
    isAnswered: false,
    answer,
    successor: undefined
  }
}
