/** Connects the submissions of jobs to the configuration and the admission queue. */
import type { AdmissionQueue, WaitingTask } from '@baobabpost/admission'
import type { Logger } from '@baobabpost/common'
import type { Configuration } from '@baobabpost/configuration'
import type { JobRequest } from '@baobabpost/messages'
import { EVACUATED_RETRY_AFTER_MILLISECONDS } from './evacuations.js'
import type { JobResolution, QueueDecision, WaitingTasks } from '@baobabpost/outcomes'

/** Time within which the tasks of a job must start if the caller names no deadline. */
const DEFAULT_START_DEADLINE_MILLISECONDS = 3_600_000
const NO_AGENTS: readonly string[] = []

export interface JobAdmissionOptions {
  readonly configuration: Configuration
  readonly queue: AdmissionQueue
  /** Returns the run time that placement has learned for a template; undefined if it has learned none. */
  readonly expectedMilliseconds: (template: string) => number | undefined
  readonly logger: Logger
  /** Whether nothing of the service may start, since all of its agents are in evacuated failure domains. */
  readonly isServiceEvacuated: (service: string) => boolean
}

/** Implements the ports of `Outcomes` towards the configuration and the queue. */
export interface JobAdmission {
  resolve: (request: JobRequest, now: number) => JobResolution
  offer: (tasks: WaitingTasks, now: number) => QueueDecision
  restore: (tasks: WaitingTasks, now: number) => void
}

export function createJobAdmission (options: JobAdmissionOptions): JobAdmission {
  const { configuration, queue, logger } = options

  function toWaitingTasks (tasks: WaitingTasks, now: number): WaitingTask[] {
    const { submission, customer, template, job } = tasks
    const expectedMilliseconds = options.expectedMilliseconds(template) ?? job.expectedMilliseconds
    return tasks.indexes.map((index, position) => ({
      submission,
      index,
      customer,
      team: job.team,
      service: job.service,
      template,
      urgent: job.urgent,
      startBefore: job.startBefore,
      waitingSince: now,
      expectedMilliseconds,
      excludedAgents: tasks.excludedAgents[position] ?? NO_AGENTS
    }))
  }

  function decide (tasks: WaitingTasks, now: number): QueueDecision {
    if (!options.isServiceEvacuated(tasks.job.service)) return queue.offer(toWaitingTasks(tasks, now), now)
    return { kind: 'refused', reason: 'evacuated', retryAfterMilliseconds: EVACUATED_RETRY_AFTER_MILLISECONDS }
  }

  return {
    resolve (request, now) {
      const resolution = configuration.resolveJob(request)
      if (resolution.kind === 'problem') {
        return { kind: 'refused', result: { kind: 'problem', problem: resolution.problem } }
      }
      const { service, team, path, timeoutMilliseconds, parameters, expectedMilliseconds } = resolution.request
      return {
        kind: 'resolved',
        job: {
          service,
          team,
          path,
          timeoutMilliseconds,
          parameters,
          urgent: request.urgent ?? false,
          startBefore: now + (request.deadlineMilliseconds ?? DEFAULT_START_DEADLINE_MILLISECONDS),
          expectedMilliseconds
        }
      }
    },
    offer (tasks, now) {
      const { submission, customer } = tasks
      const decision = decide(tasks, now)
      if (decision.kind === 'admitted') {
        logger.info('submission accepted', { submission, customer, tasks: tasks.indexes.length })
      } else {
        logger.warn('submission refused', { submission, customer, kind: 'not-run', reason: decision.reason })
      }
      return decision
    },
    restore: (tasks, now) => { queue.restore(toWaitingTasks(tasks, now)) }
  }
}
