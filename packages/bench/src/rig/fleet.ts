/** Starts a fleet of real processes on loopback: the stand-in platform, entries, agents and upstreams. */
import { setTimeout as sleep } from 'node:timers/promises'
import type { FleetStatus, Policy } from '@baobabpost/messages'
import { type RunningProcess, startProcess } from './child-process.js'
import type { HttpClient } from './http-client.js'
import { type MetricsCollector, startMetricsCollector } from './metrics-collector.js'
import { listBenchRegisters, CUSTOMERS, SERVICE } from './registers.js'

const LINK_KEY = 'link key of the bench'
const FIRST_PORT = 21_000
const PORTS_PER_FLEET = 100
const PORT_RANGE_COUNT = 60
const READY_TIMEOUT_MILLISECONDS = 40_000
const POLL_INTERVAL_MILLISECONDS = 100
const FAILURE_DOMAINS = ['domain-1', 'domain-2', 'domain-3']

/** Secret of the operator's access key. */
export const OPERATOR_SECRET = 'operator-of-the-bench'

/** Returns the secret of a customer's access key. */
export function callerSecret (customer: string): string {
  return `caller-of-${customer}`
}

/** Size, speeds and published configuration of a fleet. */
export interface FleetPlan {
  readonly entries: number
  readonly agents: number
  readonly slots: number
  /** Speed of the fastest upstream; the speeds of the upstreams are spaced evenly from this value down to 1. */
  readonly maximumSpeed: number
  readonly policy: Policy
  /** Declared run time divided by actual run time. */
  readonly declaredFactor: number
}

/** An upstream process and the process of its agent. */
export interface BenchUpstream {
  readonly name: string
  readonly speed: number
  readonly agent: RunningProcess
  readonly upstream: RunningProcess
  readonly upstreamAddress: string
}

export interface BenchEntry {
  readonly process: RunningProcess
  readonly address: string
}

export interface BenchFleet {
  readonly platform: RunningProcess
  readonly platformAddress: string
  readonly entries: readonly BenchEntry[]
  readonly upstreams: readonly BenchUpstream[]
  readonly metricsCollector: MetricsCollector
  /** Work that the fleet can do per millisecond, as milliseconds of run time at the fastest upstream. */
  readonly capacity: number
  processes: () => readonly RunningProcess[]
  stop: () => Promise<void>
}

let startedFleetCount = 0

function formatAccessKeys (): string {
  const callers = CUSTOMERS.map(customer => `caller:${customer}:${callerSecret(customer)}`)
  return [`operator:bench:${OPERATOR_SECRET}`, ...callers].join(',')
}

function startEntries (
  plan: FleetPlan, firstPort: number, platformAddress: string, metricsAddress: string
): BenchEntry[] {
  return Array.from({ length: plan.entries }, (_, number) => {
    const address = `127.0.0.1:${firstPort + 10 + number}`
    const process = startProcess('entry', `entry-${number}`, {
      name: `entry-${number}`,
      'failure-domain': FAILURE_DOMAINS[number % FAILURE_DOMAINS.length]!,
      'listen-address': address,
      'link-address': `127.0.0.1:${firstPort + 20 + number}`,
      'platform-log-address': platformAddress,
      'link-keys': LINK_KEY,
      'access-keys': formatAccessKeys(),
      'log-level': 'error',
      'metrics-address': metricsAddress
    })
    return { process, address }
  })
}

function startUpstreams (plan: FleetPlan, firstPort: number, metricsAddress: string): BenchUpstream[] {
  const entryAddresses = Array.from({ length: plan.entries }, (_, entry) => `127.0.0.1:${firstPort + 20 + entry}`)
  const lastNumber = Math.max(1, plan.agents - 1)
  return Array.from({ length: plan.agents }, (_, number) => {
    const upstreamPort = firstPort + 60 + number
    const speed = plan.maximumSpeed - (plan.maximumSpeed - 1) * number / lastNumber
    const name = `upstream-${number}`
    const upstream = startProcess('stand-in-upstream', name, {
      name, 'listen-port': upstreamPort, slots: plan.slots, speed
    })
    const agent = startProcess('agent', `agent-${number}`, {
      name: `agent-${number}`,
      'listen-address': `127.0.0.1:${firstPort + 30 + number}`,
      'failure-domain': FAILURE_DOMAINS[number % FAILURE_DOMAINS.length]!,
      service: SERVICE,
      slots: plan.slots,
      'upstream-address': `127.0.0.1:${upstreamPort}`,
      'entry-addresses': entryAddresses.join(','),
      'link-keys': LINK_KEY,
      'log-level': 'error',
      'metrics-address': metricsAddress
    })
    return { name, speed, agent, upstream, upstreamAddress: `127.0.0.1:${upstreamPort}` }
  })
}

/** Polls until a condition is met; throws after 40 s, or with the standard error of a process that has exited. */
async function waitFor (
  condition: string, processes: readonly RunningProcess[], isMet: () => Promise<boolean>
): Promise<void> {
  for (const end = Date.now() + READY_TIMEOUT_MILLISECONDS; Date.now() < end;) {
    if (await isMet()) return
    const ended = processes.find(process => process.hasEnded())
    if (ended !== undefined) throw new Error(`${ended.name} exited before ${condition}: ${ended.lastErrors()}`)
    await sleep(POLL_INTERVAL_MILLISECONDS)
  }
  throw new Error(`${condition} took longer than ${READY_TIMEOUT_MILLISECONDS} ms`)
}

async function publishRegisters (client: HttpClient, entry: BenchEntry, plan: FleetPlan): Promise<void> {
  for (const { register, value } of listBenchRegisters(plan.policy, plan.declaredFactor)) {
    const answer = await client.send({
      method: 'PUT',
      address: entry.address,
      path: `/v1/configuration/${register}`,
      secret: OPERATOR_SECRET,
      body: { replaces: 0, value }
    })
    if (answer.status !== 200) throw new Error(`publishing ${register}: ${answer.status} ${JSON.stringify(answer.body)}`)
  }
}

/**
 * Starts a fleet, publishes its configuration and waits until every entry may use every agent.
 *
 * @example
 * const size = { entries: 4, agents: 12, slots: 8, maximumSpeed: 4 }
 * const fleet = await startFleet({ ...size, policy, declaredFactor: 1 }, client)
 */
export async function startFleet (plan: FleetPlan, client: HttpClient): Promise<BenchFleet> {
  const firstPort = FIRST_PORT + PORTS_PER_FLEET * (startedFleetCount % PORT_RANGE_COUNT)
  startedFleetCount += 1
  const metricsCollector = await startMetricsCollector()
  const platformAddress = `127.0.0.1:${firstPort}`
  const platform = startProcess('stand-in-platform', 'platform', { port: firstPort })
  const entries = startEntries(plan, firstPort, platformAddress, metricsCollector.address)
  const upstreams = startUpstreams(plan, firstPort, metricsCollector.address)
  const processes = [platform, ...entries.map(entry => entry.process)]
  for (const { agent, upstream } of upstreams) processes.push(agent, upstream)
  const stop = async (): Promise<void> => {
    await Promise.all(upstreams.map(({ agent }) => agent.stop()))
    await Promise.all(entries.map(entry => entry.process.stop()))
    await Promise.all(upstreams.map(({ upstream }) => upstream.stop()))
    await platform.stop()
    metricsCollector.close()
  }
  try {
    for (const entry of entries) {
      await waitFor(`readiness of ${entry.process.name}`, processes, async () =>
        (await client.send({ method: 'GET', address: entry.address, path: '/readyz' })).status === 200)
    }
    await publishRegisters(client, entries[0]!, plan)
    for (const entry of entries) {
      await waitFor(`agents at ${entry.process.name}`, processes, async () => {
        const request = { method: 'GET', address: entry.address, path: '/v1/fleet', secret: OPERATOR_SECRET } as const
        const answer = await client.send(request)
        if (answer.status !== 200) return false
        const status = answer.body as FleetStatus
        return status.agents.filter(agent => agent.standing === 'usable').length === plan.agents
      })
    }
  } catch (failure) {
    await stop()
    throw failure
  }
  let capacity = 0
  for (const { speed } of upstreams) capacity += plan.slots * speed / plan.maximumSpeed
  return { platform, platformAddress, entries, upstreams, metricsCollector, capacity, processes: () => processes, stop }
}
