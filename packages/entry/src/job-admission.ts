/** Joins jobs to configuration and to the waiting queue. */
import type { AdmissionQueue, WaitingTask } from '@baobabpost/admission'
import type { Logger } from '@baobabpost/common'
import type { Configuration } from '@baobabpost/configuration'
import type { JobRequest } from '@baobabpost/messages'
import type { JobResolution, QueueDecision, WaitingTasks } from '@baobabpost/outcomes'

/** Time within which the tasks of a job start where its caller names no deadline. */
const DEFAULT_DEADLINE_MILLISECONDS = 3_600_000
const NO_AGENTS: readonly string[] = []

/** What the joint needs. */
export interface JobQueueOptions {
  readonly configuration: Configuration
  readonly queue: AdmissionQueue
  /** Learned run time of a template in milliseconds, if any. */
  readonly expectedMilliseconds: (template: string) => number | undefined
  readonly logger: Logger
}

/** The ports of the submissions towards configuration and queue. */
export interface JobQueue {
  resolve: (request: JobRequest, now: number) => JobResolution
  offer: (tasks: WaitingTasks, now: number) => QueueDecision
  restore: (tasks: WaitingTasks, now: number) => void
}

/** Makes the joint of jobs, configuration and queue. */
export function createJobQueue (options: JobQueueOptions): JobQueue {
  const { configuration, queue, logger } = options

  function waitingTasks (tasks: WaitingTasks, now: number): WaitingTask[] {
    const { submission, customer, template, job } = tasks
    const expectedMilliseconds = options.expectedMilliseconds(template) ?? job.expectedMilliseconds
    return tasks.indexes.map((index, place) => ({
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
      excludedAgents: tasks.excludedAgents[place] ?? NO_AGENTS
    }))
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
          startBefore: now + (request.deadlineMilliseconds ?? DEFAULT_DEADLINE_MILLISECONDS),
          expectedMilliseconds
        }
      }
    },
    offer (tasks, now) {
      const { submission, customer } = tasks
      const decision = queue.offer(waitingTasks(tasks, now), now)
      if (decision.kind === 'admitted') {
        logger.info('submission accepted', { submission, customer, tasks: tasks.indexes.length })
      } else {
        logger.warn('submission refused', { submission, customer, kind: 'not-run', reason: decision.reason })
      }
      return decision
    },
    restore: (tasks, now) => { queue.restore(waitingTasks(tasks, now)) }
  }
}
