/** The configuration that trials run with. */
import type { Customer, JobRequest, LogRecord, Policy, Team, Template } from '@baobabpost/messages'
import { NEVER_WRITTEN_VERSION } from '@baobabpost/messages'

/** Service that all agents of a trial serve. */
export const SERVICE_NAME = 'lending'
/** Template of jobs. */
export const TEMPLATE_NAME = 'checkout'
/** Customer of all work. */
export const CUSTOMER_NAME = 'medina'
/** Name of the policy of a trial. */
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

/** The changes that bring the configuration into force. */
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

/** Makes a job whose tasks name their own place. */
export function createJobRequest (taskCount: number): JobRequest {
  const tasks = Array.from({ length: taskCount }, (_, place) => ({ place }))
  return { template: TEMPLATE_NAME, customer: CUSTOMER_NAME, tasks }
}
