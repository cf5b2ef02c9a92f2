/** Sample register values that the probes publish. */
import type { Customer, RegisterWrite, Team, Template } from '@baobabpost/messages'
import { NEVER_WRITTEN_VERSION } from '@baobabpost/messages'

export const SAMPLE_TEMPLATE: Template = {
  name: 'checkout',
  service: 'lending',
  path: '/checkout',
  callType: 'idempotent',
  taskParameters: ['tool'],
  requiredParameters: ['tool'],
  defaults: { currency: 'XOF' },
  timeoutMilliseconds: 5_000,
  expectedMilliseconds: 200
}

/** Returns the team `team-NUMBER`. */
export function createSampleTeam (number: number): Team {
  return { name: `team-${number}`, share: 1, maximumQueuedTasks: 100_000 }
}

/** Returns the customer `customer-NUMBER`, a member of `team-NUMBER`. */
export function createSampleCustomer (number: number): Customer {
  return {
    name: `customer-${number}`,
    team: `team-${number}`,
    share: 1,
    maximumQueuedTasks: 100_000,
    parameters: { checkout: { desk: `desk-${number}` } }
  }
}

/** Returns the write that creates a register. */
export function createFirstWrite (register: string, value: unknown): RegisterWrite {
  return { kind: 'write', register, replaces: NEVER_WRITTEN_VERSION, value }
}
