/** Sample configuration of two deployments, for the demo and for simulations. */
import {
  NEVER_WRITTEN_VERSION, registerName, type Customer, type JsonRecord, type Objective, type Policy, type RegisterKind,
  type Team, type Template
} from '@baobabpost/messages'
import type { Publication } from './publisher.js'

export interface DeploymentConfiguration {
  readonly templates: readonly Template[]
  readonly teams: readonly Team[]
  readonly customers: readonly Customer[]
  readonly policies: readonly Policy[]
  readonly objectives: readonly Objective[]
}

export interface SampleConfiguration {
  readonly lending: DeploymentConfiguration
  readonly ledger: DeploymentConfiguration
}

const RUN_TIMEOUT_MILLISECONDS = 10_000
const MAXIMUM_QUEUED_TASKS = 20_000

interface TemplateFields {
  readonly name: string
  readonly service: string
  readonly callType: Template['callType']
  readonly taskParameters: readonly string[]
  readonly requiredParameters: readonly string[]
  readonly defaults: JsonRecord
  readonly expectedMilliseconds: number
}

function createTemplate (fields: TemplateFields): Template {
  return { ...fields, path: `/${fields.service}/${fields.name}`, timeoutMilliseconds: RUN_TIMEOUT_MILLISECONDS }
}

function createCustomer (name: string, team: string, share: number, parameters: Customer['parameters']): Customer {
  return { name, team, share, maximumQueuedTasks: MAXIMUM_QUEUED_TASKS, parameters }
}

function createTeam (name: string, share: number): Team {
  return { name, share, maximumQueuedTasks: 2 * MAXIMUM_QUEUED_TASKS }
}

function createObjective (
  name: string, service: string, indicator: Objective['indicator'], boundMilliseconds: number, target: number
): Objective {
  return { name, service, customer: '*', indicator, boundMilliseconds, target }
}

/** A tool lending service (Teranga Outils Logiciels): response time has priority, so requests are hedged. */
function lendingConfiguration (): DeploymentConfiguration {
  const service = 'lending'
  return {
    templates: [
      createTemplate({
        name: 'reserve-tool',
        service,
        callType: 'idempotent',
        taskParameters: ['tool', 'member', 'day'],
        requiredParameters: ['tool', 'member', 'branch'],
        defaults: { holdHours: 24 },
        expectedMilliseconds: 80
      }),
      createTemplate({
        name: 'checkout-tool',
        service,
        callType: 'non-idempotent',
        taskParameters: ['tool', 'member'],
        requiredParameters: ['tool', 'member', 'branch', 'depositFrancs'],
        defaults: { depositFrancs: 5_000 },
        expectedMilliseconds: 150
      }),
      createTemplate({
        name: 'return-tool',
        service,
        callType: 'non-idempotent',
        taskParameters: ['tool', 'member', 'condition'],
        requiredParameters: ['tool', 'branch'],
        defaults: { condition: 'good' },
        expectedMilliseconds: 120
      })
    ],
    teams: [createTeam('dakar', 2), createTeam('thies', 1)],
    customers: [
      createCustomer('medina', 'dakar', 2, {
        'reserve-tool': { branch: 'medina' },
        'checkout-tool': { branch: 'medina', depositFrancs: 4_000 },
        'return-tool': { branch: 'medina' }
      }),
      createCustomer('yoff', 'dakar', 1, {
        'reserve-tool': { branch: 'yoff', holdHours: 12 },
        'checkout-tool': { branch: 'yoff' },
        'return-tool': { branch: 'yoff' }
      }),
      createCustomer('randoulene', 'thies', 1, {
        'reserve-tool': { branch: 'randoulene' },
        'checkout-tool': { branch: 'randoulene' },
        'return-tool': { branch: 'randoulene' }
      })
    ],
    policies: [{ name: service, placement: 'late-binding', prefetchTasks: 2, retryShare: 0.2, hedge: true }],
    objectives: [
      createObjective('lending-response', service, 'response', 1_000, 0.99),
      createObjective('lending-whole', service, 'whole', 0, 0.999)
    ]
  }
}

/** A ledger portal (Kaasik & Tamm): avoiding wasted messages has priority over response time, so nothing is hedged. */
function ledgerConfiguration (): DeploymentConfiguration {
  const service = 'ledger'
  return {
    templates: [
      createTemplate({
        name: 'reconcile-statement',
        service,
        callType: 'idempotent',
        taskParameters: ['account', 'line', 'amountCents'],
        requiredParameters: ['account', 'line', 'book'],
        defaults: { currency: 'EUR' },
        expectedMilliseconds: 250
      }),
      createTemplate({
        name: 'file-vat-return',
        service,
        callType: 'non-idempotent',
        taskParameters: ['period', 'company'],
        requiredParameters: ['period', 'company', 'book'],
        defaults: { form: 'KMD' },
        expectedMilliseconds: 600
      }),
      createTemplate({
        name: 'post-payment',
        service,
        callType: 'non-idempotent',
        taskParameters: ['account', 'amountCents', 'reference'],
        requiredParameters: ['account', 'amountCents', 'book'],
        defaults: { currency: 'EUR' },
        expectedMilliseconds: 200
      })
    ],
    teams: [createTeam('tallinn', 2), createTeam('tartu', 1)],
    customers: [
      createCustomer('kalamaja', 'tallinn', 1, {
        'reconcile-statement': { book: 'kalamaja' },
        'file-vat-return': { book: 'kalamaja' },
        'post-payment': { book: 'kalamaja' }
      }),
      createCustomer('supilinn', 'tartu', 1, {
        'reconcile-statement': { book: 'supilinn' },
        'file-vat-return': { book: 'supilinn' },
        'post-payment': { book: 'supilinn' }
      })
    ],
    policies: [{ name: service, placement: 'late-binding', prefetchTasks: 1, retryShare: 0.05, hedge: false }],
    objectives: [
      createObjective('ledger-response', service, 'response', 3_000, 0.99),
      createObjective('ledger-whole', service, 'whole', 0, 0.999)
    ]
  }
}

/**
 * Returns the configuration of the lending and the ledger deployment.
 *
 * @example
 * sampleConfiguration().lending.templates.map(template => template.name)
 */
export function sampleConfiguration (): SampleConfiguration {
  return { lending: lendingConfiguration(), ledger: ledgerConfiguration() }
}

/**
 * Converts a deployment's configuration to publications of registers that were never written. Teams come before the
 * customers that name them.
 *
 * @example
 * for (const publication of initialPublications(sampleConfiguration().lending)) publish(publication)
 */
export function initialPublications (deployment: DeploymentConfiguration): readonly Publication[] {
  const publication = (kind: RegisterKind) => (value: { readonly name: string }): Publication => ({
    register: registerName(kind, value.name), value, replaces: NEVER_WRITTEN_VERSION
  })
  return [
    ...deployment.policies.map(publication('policy')),
    ...deployment.objectives.map(publication('objective')),
    ...deployment.teams.map(publication('team')),
    ...deployment.customers.map(publication('customer')),
    ...deployment.templates.map(publication('template'))
  ]
}
