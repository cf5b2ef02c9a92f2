/** Sample configuration of both deployments, for the demo and for tests. */
import { registerName, type Customer, type Objective, type Policy, type Team, type Template } from '@baobabpost/messages'

/** A register to publish. */
export interface SampleRegister {
  readonly register: string
  readonly value: Template | Customer | Team | Policy | Objective
}

const TEMPLATES: readonly Template[] = [
  {
    name: 'reserve-tool',
    service: 'lending',
    path: '/reservations',
    callType: 'idempotent',
    taskParameters: ['tool', 'member', 'days', 'workMilliseconds', 'fail'],
    requiredParameters: ['tool', 'member', 'library'],
    defaults: { days: 3 },
    timeoutMilliseconds: 10_000,
    expectedMilliseconds: 100
  },
  {
    name: 'check-out-tool',
    service: 'lending',
    path: '/checkouts',
    callType: 'non-idempotent',
    taskParameters: ['tool', 'member', 'deposit', 'workMilliseconds', 'fail'],
    requiredParameters: ['tool', 'member', 'deposit', 'library'],
    defaults: {},
    timeoutMilliseconds: 10_000,
    expectedMilliseconds: 200
  },
  {
    name: 'return-tool',
    service: 'lending',
    path: '/returns',
    callType: 'non-idempotent',
    taskParameters: ['tool', 'member', 'workMilliseconds', 'fail'],
    requiredParameters: ['tool', 'member', 'library'],
    defaults: {},
    timeoutMilliseconds: 10_000,
    expectedMilliseconds: 150
  },
  {
    name: 'reconcile-statement',
    service: 'ledger',
    path: '/reconciliations',
    callType: 'idempotent',
    taskParameters: ['company', 'statement', 'workMilliseconds', 'fail'],
    requiredParameters: ['company', 'statement', 'office'],
    defaults: {},
    timeoutMilliseconds: 30_000,
    expectedMilliseconds: 500
  },
  {
    name: 'file-vat-return',
    service: 'ledger',
    path: '/vat-returns',
    callType: 'non-idempotent',
    taskParameters: ['company', 'period', 'workMilliseconds', 'fail'],
    requiredParameters: ['company', 'period', 'office'],
    defaults: {},
    timeoutMilliseconds: 30_000,
    expectedMilliseconds: 300
  },
  {
    name: 'post-payment',
    service: 'ledger',
    path: '/payments',
    callType: 'non-idempotent',
    taskParameters: ['company', 'account', 'cents', 'workMilliseconds', 'fail'],
    requiredParameters: ['company', 'account', 'cents', 'office'],
    defaults: {},
    timeoutMilliseconds: 30_000,
    expectedMilliseconds: 150
  }
]

const TEAMS: readonly Team[] = [
  { name: 'dakar-libraries', share: 1, maximumQueuedTasks: 100_000 },
  { name: 'tallinn-offices', share: 1, maximumQueuedTasks: 100_000 }
]

const LENDING_TEMPLATES = ['reserve-tool', 'check-out-tool', 'return-tool']
const LEDGER_TEMPLATES = ['reconcile-statement', 'file-vat-return', 'post-payment']

function createCustomer (name: string, team: string, templates: readonly string[], parameters: object): Customer {
  return {
    name,
    team,
    share: 1,
    maximumQueuedTasks: 50_000,
    parameters: Object.fromEntries(templates.map(template => [template, { ...parameters }]))
  }
}

const CUSTOMERS: readonly Customer[] = [
  createCustomer('medina', 'dakar-libraries', LENDING_TEMPLATES, { library: 'Medina' }),
  createCustomer('pikine', 'dakar-libraries', LENDING_TEMPLATES, { library: 'Pikine' }),
  createCustomer('kaasik-office', 'tallinn-offices', LEDGER_TEMPLATES, { office: 'Kesklinn' }),
  createCustomer('nomme-office', 'tallinn-offices', LEDGER_TEMPLATES, { office: 'Nõmme' })
]

const POLICIES: readonly Policy[] = [
  { name: 'default', placement: 'late-binding', prefetchTasks: 2, retryShare: 0.1, hedge: false },
  { name: 'teranga', placement: 'late-binding', prefetchTasks: 2, retryShare: 0.1, hedge: true },
  { name: 'kaasik-tamm', placement: 'late-binding', prefetchTasks: 2, retryShare: 0.02, hedge: false }
]

const OBJECTIVES: readonly Objective[] = [
  {
    name: 'lending-response', service: 'lending', customer: '*', indicator: 'response', boundMilliseconds: 1_000, target: 0.99
  },
  { name: 'lending-whole', service: 'lending', customer: '*', indicator: 'whole', boundMilliseconds: 0, target: 0.999 },
  {
    name: 'ledger-response', service: 'ledger', customer: '*', indicator: 'response', boundMilliseconds: 5_000, target: 0.99
  },
  { name: 'ledger-whole', service: 'ledger', customer: '*', indicator: 'whole', boundMilliseconds: 0, target: 0.9999 }
]

/**
 * Lists the sample registers of both deployments, in an order in which they can be published.
 *
 * @example
 * for (const { register, value } of sampleConfiguration()) publish(register, value)
 */
export function sampleConfiguration (): readonly SampleRegister[] {
  return [
    ...TEAMS.map(value => ({ register: registerName('team', value.name), value })),
    ...CUSTOMERS.map(value => ({ register: registerName('customer', value.name), value })),
    ...TEMPLATES.map(value => ({ register: registerName('template', value.name), value })),
    ...POLICIES.map(value => ({ register: registerName('policy', value.name), value })),
    ...OBJECTIVES.map(value => ({ register: registerName('objective', value.name), value }))
  ]
}
