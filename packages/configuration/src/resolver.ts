/** Resolves requests against templates and customers; an invalid request is refused before any task starts. */
import {
  createProblem, registerName, type CallRequest, type Customer, type JobRequest, type JsonRecord, type NotRunReason,
  type Template
} from '@baobabpost/messages'
import type { RegisterProjection } from '@baobabpost/platform-log'
import type { Resolution, ResolvedRequest } from './configuration.js'

/** A template combined with a customer; cached for all requests that name both. */
interface Pairing {
  readonly resolved: ResolvedRequest
  /** Parameters that a task's input may give. */
  readonly allowedParameters: ReadonlySet<string>
  /** Required parameters that neither the template nor the customer gives. */
  readonly missingParameters: readonly string[]
}

type PairingResult =
  | { readonly kind: 'pairing', readonly pairing: Pairing }
  | { readonly kind: 'problem', readonly resolution: Resolution }

export interface Resolver {
  resolveJob: (request: JobRequest) => Resolution
  resolveCall: (request: CallRequest) => Resolution
  /** Clears the cache of pairings; call it when a template or customer changed. */
  reset: () => void
}

function invalid (reason: NotRunReason, detail: string): Resolution {
  return { kind: 'problem', problem: createProblem('not-run-invalid', detail, { reason }) }
}

function createPairing (template: Template, customer: Customer): Pairing {
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
    allowedParameters: new Set(template.taskParameters),
    missingParameters: template.requiredParameters.filter(name => !Object.hasOwn(parameters, name))
  }
}

/** Returns a problem for the first unknown or missing parameter of an input; undefined if there is none. */
function findInputFault (pairing: Pairing, input: JsonRecord, inputLabel: string): Resolution | undefined {
  for (const name of Object.keys(input)) {
    if (!pairing.allowedParameters.has(name)) {
      return invalid('unknown-parameter', `${inputLabel} gives '${name}', which '${pairing.resolved.template}' does not take`)
    }
  }
  for (const name of pairing.missingParameters) {
    if (!Object.hasOwn(input, name)) {
      return invalid('missing-parameter', `${inputLabel} lacks '${name}', which '${pairing.resolved.template}' requires`)
    }
  }
  return undefined
}

/** Creates a resolver that reads registers from a projection of the log. */
export function createResolver (projection: Pick<RegisterProjection, 'read'>): Resolver {
  let pairings = new Map<string, Pairing>()

  function readValue<T> (register: string): T | undefined {
    const value = projection.read(register)?.value
    return value === null || value === undefined ? undefined : value as T
  }

  function findPairing (templateName: string, customerName: string): PairingResult {
    const key = `${templateName}/${customerName}`
    const cachedPairing = pairings.get(key)
    if (cachedPairing !== undefined) return { kind: 'pairing', pairing: cachedPairing }
    const template = readValue<Template>(registerName('template', templateName))
    if (template === undefined) {
      return { kind: 'problem', resolution: invalid('unknown-template', `There is no template '${templateName}'`) }
    }
    const customer = readValue<Customer>(registerName('customer', customerName))
    if (customer === undefined) {
      return { kind: 'problem', resolution: invalid('unknown-customer', `There is no customer '${customerName}'`) }
    }
    const pairing = createPairing(template, customer)
    pairings.set(key, pairing)
    return { kind: 'pairing', pairing }
  }

  return {
    resolveJob (request) {
      const found = findPairing(request.template, request.customer)
      if (found.kind === 'problem') return found.resolution
      let index = 0
      for (const task of request.tasks) {
        const fault = findInputFault(found.pairing, task, `Task ${index}`)
        if (fault !== undefined) return fault
        index += 1
      }
      return { kind: 'resolved', request: found.pairing.resolved }
    },
    resolveCall (request) {
      const found = findPairing(request.template, request.customer)
      if (found.kind === 'problem') return found.resolution
      const fault = findInputFault(found.pairing, request.input, 'The call')
      return fault ?? { kind: 'resolved', request: found.pairing.resolved }
    },
    reset () { pairings = new Map() }
  }
}
