/** Jobs and their tasks at the entry that accepted them. */
import type { Size } from '@baobabpost/fleet-calls'

/** One step of a job: a number of tasks with the same size, estimate and constraints. */
export interface JobStep {
  readonly taskCount: number
  readonly size: Size
  /** Estimated run time of a task on an upstream of ordinary speed, in milliseconds; corrected once it is accepted. */
  readonly estimateMilliseconds: number
  /** Estimate as the caller sent it; the same as `estimateMilliseconds` if absent. */
  readonly statedMilliseconds?: number
  /** Numbers (from 0) of the earlier steps that must be done before this one starts. */
  readonly dependsOn: readonly number[]
  /** Label that the upstream must have. */
  readonly label: string | undefined
  /** Label of the rack near the data; upstreams with this label are preferred. */
  readonly rack: string | undefined
  /** Maximum number of tasks of the step on one upstream. */
  readonly maximumPerUpstream: number | undefined
}

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

/** Where a task was sent. */
export interface Assignment {
  /** Name of the agent. */
  readonly agent: string
  /** Incarnation of the agent that it was sent to. */
  readonly incarnation: string
  readonly run: number
  readonly sentAt: number
  /** Whether the agent has told that every start order of the run was answered: none is carried out later. */
  isConfirmed: boolean
}

export type TaskState = 'blocked' | 'waiting' | 'assigned' | 'stopping' | 'done'

/** One task of a job. */
export interface JobTask {
  readonly name: string
  readonly step: JobStep
  readonly stepNumber: number
  state: TaskState
  assignment: Assignment | undefined
  /** Number of its last run; 0 before the first. */
  lastRun: number
  failures: number
  /** Whether a run of the task has ended or may have started. */
  mayHaveStarted: boolean
  /** Time before which the task is not sent again, on the entry's steady clock in milliseconds. */
  notBefore: number
  /** Agents where an earlier assignment of the task ended without success; other agents are preferred. */
  readonly avoidedAgents: Set<string>
  /** Agent that is still stopping another run of the task; no other may get the task before that run has ended. */
  heldBy: { readonly agent: string, readonly until: number } | undefined
}

/** A job and its state at the entry. */
export interface Job {
  readonly request: JobRequest
  readonly tasks: readonly JobTask[]
  /** Response time, from the arrival of the job, that the entry aims to stay within. */
  readonly objectiveMilliseconds: number
  /**
   * Place among the waiting jobs of its priority: when the job arrived or, if its caller has returned as told by an
   * earlier refusal, when it first arrived. On the entry's steady clock, in milliseconds.
   */
  readonly place: number
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

/** Whether any task of a job has run, is running, or may still start. */
export function mayHaveRun (job: Job): boolean {
  return job.tasks.some(task => task.mayHaveStarted || task.assignment !== undefined)
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
        state: step.dependsOn.length === 0 ? 'waiting' : 'blocked',
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
  return {
    request,
    tasks: createTasks(request),
    objectiveMilliseconds:
      request.stretch * estimateFactor * longestChainMilliseconds(request.steps) + request.targetLatencyMilliseconds,
    place,
    isLate: false,
    releasedAt: undefined,
    refusedOrders: 0,
    isAnswered: false,
    answer,
    successor: undefined
  }
}
