/** Registers that the bench publishes: templates, teams, customers and the policy under test. */
import { type Policy, registerName, type Template } from '@baobabpost/messages'

/** Service of all upstreams. */
export const SERVICE = 'desk'

const TEAM_COUNT = 5
const CUSTOMER_COUNT = 20
const MAXIMUM_QUEUED_TASKS = 20_000
const TIMEOUT_MILLISECONDS = 60_000
const MEDIAN_RUN_MILLISECONDS = { checkout: 300, statement: 550, tiny: 20 }

export const CUSTOMERS: readonly string[] = Array.from({ length: CUSTOMER_COUNT }, (_, number) => `customer-${number}`)

export interface BenchRegister {
  readonly register: string
  readonly value: unknown
}

function createTemplate (name: keyof typeof MEDIAN_RUN_MILLISECONDS, declaredFactor: number): Template {
  return {
    name,
    service: SERVICE,
    path: `/${name}`,
    callType: 'idempotent',
    taskParameters: ['workMilliseconds', 'fail'],
    requiredParameters: [],
    defaults: {},
    timeoutMilliseconds: TIMEOUT_MILLISECONDS,
    expectedMilliseconds: Math.round(MEDIAN_RUN_MILLISECONDS[name] * declaredFactor)
  }
}

/**
 * Lists the registers that the bench publishes.
 *
 * @param declaredFactor - Declared run time divided by actual run time.
 */
export function listBenchRegisters (policy: Policy, declaredFactor: number): BenchRegister[] {
  const registers: BenchRegister[] = [{ register: registerName('policy', 'default'), value: policy }]
  for (const name of ['checkout', 'statement', 'tiny'] as const) {
    registers.push({ register: registerName('template', name), value: createTemplate(name, declaredFactor) })
  }
  for (let team = 0; team < TEAM_COUNT; team += 1) {
    const value = { name: `team-${team}`, share: 1, maximumQueuedTasks: MAXIMUM_QUEUED_TASKS }
    registers.push({ register: registerName('team', value.name), value })
  }
  for (const [number, name] of CUSTOMERS.entries()) {
    const team = `team-${number % TEAM_COUNT}`
    const value = { name, team, share: 1, maximumQueuedTasks: MAXIMUM_QUEUED_TASKS, parameters: {} }
    registers.push({ register: registerName('customer', name), value })
  }
  return registers
}
