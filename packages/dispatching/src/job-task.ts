/** Steps and tasks of a job. */
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

/** One task of a job. Its state and assignment are changed by `task-changes.ts` alone, which keeps the job's counts. */
export interface JobTask {
  readonly name: string
  readonly step: JobStep
  readonly stepNumber: number
  /** Position among the tasks of the job. */
  readonly position: number
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
