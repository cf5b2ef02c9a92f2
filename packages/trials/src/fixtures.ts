/** Configuration of the simulated fleet. */
import type { Customer, JobRequest, LogRecord, Policy, Team, Template } from '@baobabpost/messages'
import { NEVER_WRITTEN_VERSION } from '@baobabpost/messages'

/** Service of all agents. */
export const SERVICE_NAME = 'lending'
/** Template of all jobs and calls. */
export const TEMPLATE_NAME = 'checkout'
/** Customer of all jobs and calls. */
export const CUSTOMER_NAME = 'medina'
export const POLICY_NAME = 'default'

const TASK_TIMEOUT_MILLISECONDS = 4_000

const template: Template = {
  name: TEMPLATE_NAME,
  service: SERVICE_NAME,
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
  name: CUSTOMER_NAME, team: team.name, share: 1, maximumQueuedTasks: 100_000, parameters: {}
}
const policy: Policy = { name: POLICY_NAME, placement: 'late-binding', prefetchTasks: 4, retryShare: 0.1, hedge: false }

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
  return { template: TEMPLATE_NAME, customer: CUSTOMER_NAME, tasks }
}
