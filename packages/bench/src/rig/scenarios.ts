/** The scenarios of the bench. */
import type { BenchFleet } from './fleet.js'
import type { HttpClient } from './http-client.js'
import type { LoadOptions } from './load.js'

/** Something that happens while a load runs. */
export interface Disturbance {
  /** When, as a share of the measured time. */
  readonly at: number
  readonly act: (fleet: BenchFleet, client: HttpClient) => Promise<void>
}

/** A scenario. */
export interface Scenario {
  readonly name: string
  readonly load: Pick<LoadOptions, 'load' | 'urgentShare' | 'tasksPerJob' | 'cancelledJobs' | 'deadlineMilliseconds'>
  readonly declaredFactor: number
  readonly disturbances: readonly Disturbance[]
}

const NORMAL_LOAD: Scenario['load'] = {
  load: 0.7,
  urgentShare: 0.4,
  tasksPerJob: { least: 5, most: 200 },
  cancelledJobs: 0,
  deadlineMilliseconds: 60_000
}

type UpstreamFault = { readonly kind: 'fails-all' | 'hangs' } | { readonly kind: 'slow', readonly factor: number }

function upstreamFault (number: number, fault: UpstreamFault): Disturbance {
  return {
    at: 0.1,
    act: async (fleet, client) => {
      const address = fleet.upstreams[number]?.upstreamAddress ?? ''
      await client.send({ method: 'POST', address, path: '/fault', body: fault })
    }
  }
}

function logOutage (at: number, outage: 'none' | 'refuse'): Disturbance {
  return {
    at,
    act: async (fleet, client) => {
      await client.send({ method: 'POST', address: fleet.platformAddress, path: '/fault', body: { outage } })
    }
  }
}

function scenario (name: string, changes: Partial<Scenario['load']>, rest: Partial<Scenario> = {}): Scenario {
  return { name, load: { ...NORMAL_LOAD, ...changes }, declaredFactor: 1, disturbances: [], ...rest }
}

/** All scenarios, in the order in which they run. */
export const SCENARIOS: readonly Scenario[] = [
  scenario('steady 50 %', { load: 0.5 }),
  scenario('steady 70 %', {}),
  scenario('steady 90 %', { load: 0.9 }),
  scenario('burst 1000 %', { load: 10, urgentShare: 0.03, deadlineMilliseconds: 5_000 }),
  scenario('straggler', {}, { disturbances: [upstreamFault(0, { kind: 'slow', factor: 10 })] }),
  scenario('fails all', {}, { disturbances: [upstreamFault(1, { kind: 'fails-all' })] }),
  scenario('hangs', {}, { disturbances: [upstreamFault(2, { kind: 'hangs' })] }),
  scenario('declared x 10', {}, { declaredFactor: 10 }),
  scenario('declared / 10', {}, { declaredFactor: 0.1 }),
  scenario('cancellation wave', { cancelledJobs: 0.5 }),
  scenario('entry killed', {}, {
    disturbances: [{
      at: 0.3,
      act: fleet => {
        fleet.entries.at(-1)?.process.kill()
        return Promise.resolve()
      }
    }]
  }),
  scenario('agent killed', {}, {
    disturbances: [{
      at: 0.3,
      act: fleet => {
        fleet.upstreams[3]?.agent.kill()
        return Promise.resolve()
      }
    }]
  }),
  scenario('log outage', {}, { disturbances: [logOutage(0.2, 'refuse'), logOutage(0.8, 'none')] })
]
