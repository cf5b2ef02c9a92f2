/** Jobs and their tasks at the entry that took them in. */
import type { Size } from '@baobabpost/fleet-calls'

/** One step of a job: tasks of one shape. */
export interface JobStep {
  readonly taskCount: number
  readonly size: Size
  /** Rough run time of a task on an ordinary upstream, in milliseconds. */
  readonly estimateMilliseconds: number
  /** Earlier steps that must be done first, by number from 0. */
  readonly dependsOn: readonly number[]
  /** Label that the upstream must have. */
  readonly label: string | undefined
  /** Rack near the data, by its label: preferred. */
  readonly rack: string | undefined
  /** Most tasks of the step on one upstream. */
  readonly maximumPerUpstream: number | undefined
}

/** A job as it arrives. */
export interface JobRequest {
  /** Chosen by the caller; the same when it sends the job again. */
  readonly id: string
  /** Name of the route that it came by, for logs. */
  readonly route: string
  readonly service: string
  /** 0 goes first. */
  readonly priority: number
  readonly specification: string
  readonly steps: readonly JobStep[]
  /** Failed runs of a task after which the job has failed. */
  readonly maximumAttempts: number
  /** The objective is this many times the longest chain of work … */
  readonly stretch: number
  /** … and this much more, in milliseconds. */
  readonly targetLatencyMilliseconds: number
  /** Entry's steady clock. */
  readonly arrivedAt: number
  /** Entry's steady clock after which nobody waits for the answer. */
  readonly deadlineAt: number
}

/**
 * Final answer to a job.
 *
 * - `completed`: every task was done;
 * - `failed`: a task failed as often as it may;
 * - `refused`: nothing of it ran or will run;
 * - `given-up`: it is not known to be done; something of it may have run, and nothing runs any more than a lease.
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
}

/** State of a task. */
export type TaskState = 'blocked' | 'waiting' | 'assigned' | 'stopping' | 'done'

/** One task of a job. */
export interface JobTask {
  readonly name: string
  readonly step: JobStep
  readonly stepNumber: number
  state: TaskState
  assignment: Assignment | undefined
  /** Number of its last run. */
  run: number
  failures: number
  /** Whether a run of it has ended, or may have begun. */
  ran: boolean
  /** Time before which it isn't sent again. */
  notBefore: number
  /** Agents where it did badly. */
  readonly avoid: Set<string>
}

/** One job. */
export interface Job {
  readonly request: JobRequest
  readonly tasks: readonly JobTask[]
  /** Time within which an answer is worth its full credit, from the arrival. */
  readonly objectiveMilliseconds: number
  /** Whether its objective can't be met any more. */
  late: boolean
  answered: boolean
  readonly answer: (answer: JobAnswer) => void
  /** The same job sent again while runs of this one are being stopped. */
  successor: Job | undefined
}

/** Whether anything of a job has run, runs, or may yet run. */
export function mayHaveRun (job: Job): boolean {
  return job.tasks.some(task => task.ran || task.assignment !== undefined)
}

/** Longest chain of estimated work through the steps of a job, in milliseconds. */
function longestChain (steps: readonly JobStep[]): number {
  const chains: number[] = []
  for (const step of steps) {
    const before = step.dependsOn.map(number => chains[number] ?? 0)
    chains.push(step.estimateMilliseconds + Math.max(0, ...before))
  }
  return Math.max(0, ...chains)
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
        run: 0,
        failures: 0,
        ran: false,
        notBefore: 0,
        avoid: new Set()
      })
    }
  }
  return tasks
}

/**
 * Makes a job from a request.
 *
 * @param answer - Told the final answer, once.
 * @example
 * const job = createJob(request, answer => { respond(answer) })
 */
export function createJob (request: JobRequest, answer: (answer: JobAnswer) => void): Job {
  return {
    request,
    tasks: createTasks(request),
    objectiveMilliseconds: request.stretch * longestChain(request.steps) + request.targetLatencyMilliseconds,
    late: false,
    answered: false,
    answer,
    successor: undefined
  }
}
