/** Values of registers that the probes publish. */
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

/** A team of the given number. */
export function sampleTeam (place: number): Team {
  return { name: `team-${place}`, share: 1, maximumQueuedTasks: 100_000 }
}

/** A customer of the given number, in the team of the same number. */
export function sampleCustomer (place: number): Customer {
  return {
    name: `customer-${place}`,
    team: `team-${place}`,
    share: 1,
    maximumQueuedTasks: 100_000,
    parameters: { checkout: { desk: `desk-${place}` } }
  }
}

/** A first write of a register. */
export function firstWrite (register: string, value: unknown): RegisterWrite {
  return { kind: 'write', register, replaces: NEVER_WRITTEN_VERSION, value }
}
