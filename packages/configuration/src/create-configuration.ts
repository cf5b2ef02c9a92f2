/** The configuration in force at this process, read from the registers. */
import {
  createProblem, registerName, type CallRequest, type Customer, type JobRequest, type JsonRecord, type NotRunReason,
  type Objective, type Policy, type Problem, type Template
} from '@baobabpost/messages'
import type { RegisterChange, RegisterFold } from '@baobabpost/platform-log'
import type { Configuration, RegisterVersion, Resolution, ResolvedRequest } from './configuration.js'

/** Versions of one register that are remembered. */
const MAXIMUM_HISTORY = 20
/** Registers whose history is remembered; the one changed longest ago is dropped first. */
const MAXIMUM_HISTORY_REGISTERS = 5_000

/** Kinds of registers that are configuration. */
const CONFIGURATION_PREFIXES = ['template/', 'customer/', 'team/', 'policy/', 'objective/', 'drain/']

/** Policy of a deployment that published none. */
export const BUILT_IN_POLICY: Policy = {
  name: 'default', placement: 'late-binding', prefetchTasks: 2, retryShare: 0.1, hedge: false
}

/** What the configuration is read from. */
export interface ConfigurationOptions {
  readonly fold: Pick<RegisterFold, 'read' | 'list' | 'position' | 'logPosition'>
}

/** A template with what a check of a task needs at hand. */
interface PreparedTemplate {
  readonly template: Template
  readonly allowed: ReadonlySet<string>
  /** Parameters that neither the template nor the customer gives, so that each task has to. */
  readonly required: readonly string[]
  readonly parameters: JsonRecord
}

function refuse (reason: NotRunReason, detail: string): Problem {
  return createProblem('not-run-invalid', detail, { reason })
}

function prepare (template: Template, customer: Customer): PreparedTemplate {
  const parameters = { ...template.defaults, ...customer.parameters[template.name] }
  return {
    template,
    allowed: new Set(template.taskParameters),
    required: template.requiredParameters.filter(name => !(name in parameters)),
    parameters
  }
}

function checkTask (prepared: PreparedTemplate, input: JsonRecord, index: number): Problem | undefined {
  for (const name in input) {
    if (prepared.allowed.has(name)) continue
    return refuse('unknown-parameter', `Task ${index}: template ${prepared.template.name} takes no parameter '${name}'`)
  }
  for (const name of prepared.required) {
    if (name in input) continue
    return refuse('missing-parameter', `Task ${index}: parameter '${name}' is missing`)
  }
  return undefined
}

/**
 * Makes the view of the configuration.
 *
 * @example
 * const configuration = createConfiguration({ fold })
 * configuration.resolveJob(request)
 */
export function createConfiguration (options: ConfigurationOptions): Configuration {
  const { fold } = options
  const histories = new Map<string, RegisterVersion[]>()

  function value<T> (register: string): T | undefined {
    const found = fold.read(register)
    return found === undefined || found.value === null ? undefined : found.value as T
  }

  function resolve (templateName: string, customerName: string, tasks: readonly JsonRecord[]): Resolution {
    const template = value<Template>(registerName('template', templateName))
    if (template === undefined) {
      return { kind: 'problem', problem: refuse('unknown-template', `There is no template '${templateName}'`) }
    }
    const customer = value<Customer>(registerName('customer', customerName))
    if (customer === undefined) {
      return { kind: 'problem', problem: refuse('unknown-customer', `There is no customer '${customerName}'`) }
    }
    const prepared = prepare(template, customer)
    for (const [index, input] of tasks.entries()) {
      const problem = checkTask(prepared, input, index)
      if (problem !== undefined) return { kind: 'problem', problem }
    }
    return { kind: 'resolved', request: resolved(prepared, customer) }
  }

  function resolved ({ template, parameters }: PreparedTemplate, customer: Customer): ResolvedRequest {
    const { service, path, callType, timeoutMilliseconds, expectedMilliseconds } = template
    return {
      template: template.name,
      customer: customer.name,
      team: customer.team,
      service,
      path,
      callType,
      timeoutMilliseconds,
      expectedMilliseconds,
      parameters,
      maximumQueuedTasks: customer.maximumQueuedTasks
    }
  }

  function remember (change: RegisterChange, now: number): void {
    const { register, version, previousVersion } = change
    const history = histories.get(register) ?? []
    history.unshift({ version, previousVersion, value: change.value, appliedAt: now })
    history.length = Math.min(history.length, MAXIMUM_HISTORY)
    // Set anew, so that the map's order is that of the last change.
    histories.delete(register)
    histories.set(register, history)
    if (histories.size <= MAXIMUM_HISTORY_REGISTERS) return
    const [oldest] = histories.keys()
    if (oldest !== undefined) histories.delete(oldest)
  }

  return {
    changed (changes, now) {
      for (const change of changes) {
        if (CONFIGURATION_PREFIXES.some(prefix => change.register.startsWith(prefix))) remember(change, now)
      }
    },
    resolveJob: (request: JobRequest) => resolve(request.template, request.customer, request.tasks),
    resolveCall: (request: CallRequest) => resolve(request.template, request.customer, [request.input]),
    policy: name => value<Policy>(registerName('policy', name)) ?? BUILT_IN_POLICY,
    objectives: () => fold.list('objective').map(register => register.value as Objective),
    history: register => histories.get(register) ?? [],
    status: standing => ({
      position: fold.position(),
      behindRecords: Math.max(0, standing.end - fold.position()),
      behindSince: standing.behindSince,
      source: fold.position() > fold.logPosition() ? 'peer' : 'log'
    })
  }
}
