/** Configuration of the simulated fleet. */
import type { Customer, JobRequest, LogRecord, Policy, Team, Template } from '@baobabpost/messages'
import { NEVER_WRITTEN_VERSION } from '@baobabpost/messages'

/** Service of all agents. */
export const TRIAL_SERVICE = 'lending'
/** Template of all jobs and calls. */
export const JOB_TEMPLATE = 'checkout'
/** Customer of all jobs and calls. */
export const TRIAL_CUSTOMER = 'medina'
export const TRIAL_POLICY = 'default'

const TASK_TIMEOUT_MILLISECONDS = 4_000

const template: Template = {
  name: JOB_TEMPLATE,
  service: TRIAL_SERVICE,
  path: '/checkout',
  callType: 'non-idempotent',
  taskParameters: ['place', 'call'],
  requiredParameters: [],
  defaults: {},
  timeoutMilliseconds: TASK_TIMEOUT_MILLISECONDS,
  expectedMilliseconds: 100
}
const team: Team = { name: 'dakar', share: 1, maximumQueuedTasks: 100_000 }
const customer: Customer = {
  name: TRIAL_CUSTOMER, team: team.name, share: 1, maximumQueuedTasks: 100_000, parameters: {}
}
const policy: Policy = { name: TRIAL_POLICY, placement: 'late-binding', prefetchTasks: 4, retryShare: 0.1, hedge: false }

/** Returns the changes of the log record that writes the configuration. */
export function configurationChanges (): LogRecord['changes'] {
  const values = {
    [`template/${template.name}`]: template,
    [`team/${team.name}`]: team,
    [`customer/${customer.name}`]: customer,
    [`policy/${policy.name}`]: policy
  }
  return Object.entries(values).map(([register, value]) => (
    { kind: 'write', register, replaces: NEVER_WRITTEN_VERSION, value }
  ))
}

/** Creates a job in which the input of each task is its index, so that answers can be matched to tasks. */
export function createJobRequest (taskCount: number): JobRequest {
  const tasks = Array.from({ length: taskCount }, (_, place) => ({ place }))
  return { template: JOB_TEMPLATE, customer: TRIAL_CUSTOMER, tasks }
}
