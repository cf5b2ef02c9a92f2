/** Resolves requests against templates, customers and teams: what can't be run is told before anything starts. */
import {
  createProblem, registerName, type CallRequest, type Customer, type JobRequest, type JsonRecord, type NotRunReason,
  type Template
} from '@baobabpost/messages'
import type { RegisterProjection } from '@baobabpost/platform-log'
import type { Resolution, ResolvedRequest } from './configuration.js'

/** A template and a customer put together once, for all requests that name them. */
interface Pairing {
  readonly resolved: ResolvedRequest
  readonly allowed: ReadonlySet<string>
  /** Required parameters that neither the template nor the customer gives. */
  readonly missing: readonly string[]
}

type PairingResult =
  | { readonly kind: 'pairing', readonly pairing: Pairing }
  | { readonly kind: 'problem', readonly resolution: Resolution }

/** Resolves jobs and calls. */
export interface Resolver {
  resolveJob: (request: JobRequest) => Resolution
  resolveCall: (request: CallRequest) => Resolution
  /** Drops what was put together; call it when a template or customer changed. */
  reset: () => void
}

function invalid (reason: NotRunReason, detail: string): Resolution {
  return { kind: 'problem', problem: createProblem('not-run-invalid', detail, { reason }) }
}

function pair (template: Template, customer: Customer): Pairing {
  const parameters = { ...template.defaults, ...customer.parameters[template.name] }
  return {
    resolved: {
      template: template.name,
      customer: customer.name,
      team: customer.team,
      service: template.service,
      path: template.path,
      callType: template.callType,
      timeoutMilliseconds: template.timeoutMilliseconds,
      expectedMilliseconds: template.expectedMilliseconds,
      parameters,
      maximumQueuedTasks: customer.maximumQueuedTasks
    },
    allowed: new Set(template.taskParameters),
    missing: template.requiredParameters.filter(name => !Object.hasOwn(parameters, name))
  }
}

/** Finds the first parameter that the task must not give, or must give and doesn't. */
function inputFault (pairing: Pairing, input: JsonRecord, place: string): Resolution | undefined {
  for (const name of Object.keys(input)) {
    if (!pairing.allowed.has(name)) {
      return invalid('unknown-parameter', `${place} gives '${name}', which '${pairing.resolved.template}' does not take`)
    }
  }
  for (const name of pairing.missing) {
    if (!Object.hasOwn(input, name)) {
      return invalid('missing-parameter', `${place} lacks '${name}', which '${pairing.resolved.template}' requires`)
    }
  }
  return undefined
}

/** Makes a resolver over the registers of a fold. */
export function createResolver (projection: Pick<RegisterProjection, 'read'>): Resolver {
  let pairings = new Map<string, Pairing>()

  function valueOf<T> (register: string): T | undefined {
    const value = projection.read(register)?.value
    return value === null || value === undefined ? undefined : value as T
  }

  function findPairing (templateName: string, customerName: string): PairingResult {
    const key = `${templateName}/${customerName}`
    const known = pairings.get(key)
    if (known !== undefined) return { kind: 'pairing', pairing: known }
    const template = valueOf<Template>(registerName('template', templateName))
    if (template === undefined) {
      return { kind: 'problem', resolution: invalid('unknown-template', `There is no template '${templateName}'`) }
    }
    const customer = valueOf<Customer>(registerName('customer', customerName))
    if (customer === undefined) {
      return { kind: 'problem', resolution: invalid('unknown-customer', `There is no customer '${customerName}'`) }
    }
    const pairing = pair(template, customer)
    pairings.set(key, pairing)
    return { kind: 'pairing', pairing }
  }

  return {
    resolveJob (request) {
      const found = findPairing(request.template, request.customer)
      if (found.kind === 'problem') return found.resolution
      let index = 0
      for (const task of request.tasks) {
        const fault = inputFault(found.pairing, task, `Task ${index}`)
        if (fault !== undefined) return fault
        index += 1
      }
      return { kind: 'resolved', request: found.pairing.resolved }
    },
    resolveCall (request) {
      const found = findPairing(request.template, request.customer)
      if (found.kind === 'problem') return found.resolution
      const fault = inputFault(found.pairing, request.input, 'The call')
      return fault ?? { kind: 'resolved', request: found.pairing.resolved }
    },
    reset () { pairings = new Map() }
  }
}
