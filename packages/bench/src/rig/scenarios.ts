/** Load and injected faults of the bench scenarios. */
import type { BenchFleet } from './fleet.js'
import type { HttpClient } from './http-client.js'
import type { LoadOptions } from './load-generator.js'

/** A fault that starts or ends during the measured period. */
export interface FaultInjection {
  /** Time of the injection, as a share of the measured period. */
  readonly at: number
  readonly inject: (fleet: BenchFleet, client: HttpClient) => Promise<void>
}

export interface Scenario {
  readonly name: string
  readonly load: Pick<LoadOptions, 'load' | 'urgentShare' | 'tasksPerJob' | 'cancelledJobs' | 'deadlineMilliseconds'>
  readonly declaredFactor: number
  readonly faultInjections: readonly FaultInjection[]
}

const NORMAL_LOAD: Scenario['load'] = {
  load: 0.7,
  urgentShare: 0.4,
  tasksPerJob: { least: 5, most: 200 },
  cancelledJobs: 0,
  deadlineMilliseconds: 60_000
}

type UpstreamFault = { readonly kind: 'fails-all' | 'hangs' } | { readonly kind: 'slow', readonly factor: number }

function createUpstreamFault (number: number, fault: UpstreamFault): FaultInjection {
  return {
    at: 0.1,
    inject: async (fleet, client) => {
      const address = fleet.upstreams[number]?.upstreamAddress ?? ''
      await client.send({ method: 'POST', address, path: '/fault', body: fault })
    }
  }
}

function createLogOutage (at: number, outage: 'none' | 'refuse'): FaultInjection {
  return {
    at,
    inject: async (fleet, client) => {
      await client.send({ method: 'POST', address: fleet.platformAddress, path: '/fault', body: { outage } })
    }
  }
}

function createScenario (name: string, changes: Partial<Scenario['load']>, rest: Partial<Scenario> = {}): Scenario {
  return { name, load: { ...NORMAL_LOAD, ...changes }, declaredFactor: 1, faultInjections: [], ...rest }
}

/** All scenarios, in the order in which the bench runs them. */
export const SCENARIOS: readonly Scenario[] = [
  createScenario('steady 50 %', { load: 0.5 }),
  createScenario('steady 70 %', {}),
  createScenario('steady 90 %', { load: 0.9 }),
  createScenario('burst 1000 %', { load: 10, urgentShare: 0.03, deadlineMilliseconds: 5_000 }),
  createScenario('straggler', {}, { faultInjections: [createUpstreamFault(0, { kind: 'slow', factor: 10 })] }),
  createScenario('fails all', {}, { faultInjections: [createUpstreamFault(1, { kind: 'fails-all' })] }),
  createScenario('hangs', {}, { faultInjections: [createUpstreamFault(2, { kind: 'hangs' })] }),
  createScenario('declared x 10', {}, { declaredFactor: 10 }),
  createScenario('declared / 10', {}, { declaredFactor: 0.1 }),
  createScenario('cancellation wave', { cancelledJobs: 0.5 }),
  createScenario('entry killed', {}, {
    faultInjections: [{
      at: 0.3,
      inject: fleet => {
        fleet.entries.at(-1)?.process.kill()
        return Promise.resolve()
      }
    }]
  }),
  createScenario('agent killed', {}, {
    faultInjections: [{
      at: 0.3,
      inject: fleet => {
        fleet.upstreams[3]?.agent.kill()
        return Promise.resolve()
      }
    }]
  }),
  createScenario('log outage', {}, { faultInjections: [createLogOutage(0.2, 'refuse'), createLogOutage(0.8, 'none')] })
]
