/** A fleet of real processes on loopback: the platform's stand-in, entries, and agents beside unlike upstreams. */
import { setTimeout as sleep } from 'node:timers/promises'
import type { FleetStatus, Policy } from '@baobabpost/messages'
import { type RunningProcess, startProcess } from './child-process.js'
import type { HttpClient } from './http-client.js'
import { type MetricsCollector, startMetricsCollector } from './metrics-collector.js'
import { benchRegisters, CUSTOMERS, SERVICE } from './registers.js'

const LINK_KEY = 'link key of the bench'
const FIRST_PORT = 21_000
const PORTS_PER_FLEET = 100
const FLEETS_BEFORE_REUSE = 60
const READY_MILLISECONDS = 40_000
const POLL_MILLISECONDS = 100
const DOMAINS = ['domain-1', 'domain-2', 'domain-3']

/** Secret of the operator's key. */
export const OPERATOR_SECRET = 'operator-of-the-bench'

/** Secret of a customer's key. */
export function callerSecret (customer: string): string {
  return `caller-of-${customer}`
}

/** What a fleet consists of. */
export interface FleetPlan {
  readonly entries: number
  readonly agents: number
  readonly slots: number
  /** Speed of the fastest upstream; the others spread evenly from 1. */
  readonly fastest: number
  readonly policy: Policy
  /** Declared run time over true run time. */
  readonly declaredFactor: number
}

/** An agent's process with its upstream's. */
export interface BenchUpstream {
  readonly name: string
  readonly speed: number
  readonly agent: RunningProcess
  readonly upstream: RunningProcess
  readonly upstreamAddress: string
}

/** An entry's process. */
export interface BenchEntry {
  readonly process: RunningProcess
  readonly address: string
}

/** A running fleet. */
export interface BenchFleet {
  readonly platform: RunningProcess
  readonly platformAddress: string
  readonly entries: readonly BenchEntry[]
  readonly upstreams: readonly BenchUpstream[]
  readonly metrics: MetricsCollector
  /** Work that the fleet can do, milliseconds of the fastest upstream per millisecond. */
  readonly capacity: number
  processes: () => readonly RunningProcess[]
  stop: () => Promise<void>
}

let startedFleets = 0

function accessKeys (): string {
  const callers = CUSTOMERS.map(customer => `caller:${customer}:${callerSecret(customer)}`)
  return [`operator:bench:${OPERATOR_SECRET}`, ...callers].join(',')
}

function startEntries (plan: FleetPlan, firstPort: number, platformAddress: string, metrics: string): BenchEntry[] {
  return Array.from({ length: plan.entries }, (_, number) => {
    const address = `127.0.0.1:${firstPort + 10 + number}`
    const process = startProcess('entry', `entry-${number}`, {
      name: `entry-${number}`,
      'failure-domain': DOMAINS[number % DOMAINS.length]!,
      'listen-address': address,
      'link-address': `127.0.0.1:${firstPort + 20 + number}`,
      'platform-log-address': platformAddress,
      'link-keys': LINK_KEY,
      'access-keys': accessKeys(),
      'log-level': 'error',
      'metrics-address': metrics
    })
    return { process, address }
  })
}

function startUpstreams (plan: FleetPlan, firstPort: number, metrics: string): BenchUpstream[] {
  const entryAddresses = Array.from({ length: plan.entries }, (_, entry) => `127.0.0.1:${firstPort + 20 + entry}`)
  const last = Math.max(1, plan.agents - 1)
  return Array.from({ length: plan.agents }, (_, number) => {
    const upstreamPort = firstPort + 60 + number
    const speed = plan.fastest - (plan.fastest - 1) * number / last
    const name = `upstream-${number}`
    const upstream = startProcess('stand-in-upstream', name, {
      name, 'listen-port': upstreamPort, slots: plan.slots, speed
    })
    const agent = startProcess('agent', `agent-${number}`, {
      name: `agent-${number}`,
      'listen-address': `127.0.0.1:${firstPort + 30 + number}`,
      'failure-domain': DOMAINS[number % DOMAINS.length]!,
      service: SERVICE,
      slots: plan.slots,
      'upstream-address': `127.0.0.1:${upstreamPort}`,
      'entry-addresses': entryAddresses.join(','),
      'link-keys': LINK_KEY,
      'log-level': 'error',
      'metrics-address': metrics
    })
    return { name, speed, agent, upstream, upstreamAddress: `127.0.0.1:${upstreamPort}` }
  })
}

/** Waits until a condition holds; throws with the errors of ended processes otherwise. */
async function waitFor (
  what: string, processes: readonly RunningProcess[], holds: () => Promise<boolean>
): Promise<void> {
  for (const end = Date.now() + READY_MILLISECONDS; Date.now() < end;) {
    if (await holds()) return
    const ended = processes.find(process => process.ended())
    if (ended !== undefined) throw new Error(`${ended.name} ended early: ${ended.lastErrors()}`)
    await sleep(POLL_MILLISECONDS)
  }
  throw new Error(`${what} took longer than ${READY_MILLISECONDS} ms`)
}

async function publish (client: HttpClient, entry: BenchEntry, plan: FleetPlan): Promise<void> {
  for (const { register, value } of benchRegisters(plan.policy, plan.declaredFactor)) {
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
 * Starts a fleet and waits until it serves.
 *
 * @example
 * const fleet = await startFleet({ entries: 4, agents: 12, slots: 8, fastest: 4, policy, declaredFactor: 1 }, client)
 */
export async function startFleet (plan: FleetPlan, client: HttpClient): Promise<BenchFleet> {
  const firstPort = FIRST_PORT + PORTS_PER_FLEET * (startedFleets % FLEETS_BEFORE_REUSE)
  startedFleets += 1
  const metrics = await startMetricsCollector()
  const platformAddress = `127.0.0.1:${firstPort}`
  const platform = startProcess('stand-in-platform', 'platform', { port: firstPort })
  const entries = startEntries(plan, firstPort, platformAddress, metrics.address)
  const upstreams = startUpstreams(plan, firstPort, metrics.address)
  const processes = [platform, ...entries.map(entry => entry.process)]
  for (const { agent, upstream } of upstreams) processes.push(agent, upstream)
  const stop = async (): Promise<void> => {
    await Promise.all(upstreams.map(({ agent }) => agent.stop()))
    await Promise.all(entries.map(entry => entry.process.stop()))
    await Promise.all(upstreams.map(({ upstream }) => upstream.stop()))
    await platform.stop()
    metrics.close()
  }
  try {
    for (const entry of entries) {
      await waitFor(`readiness of ${entry.process.name}`, processes, async () =>
        (await client.send({ method: 'GET', address: entry.address, path: '/readyz' })).status === 200)
    }
    await publish(client, entries[0]!, plan)
    for (const entry of entries) {
      await waitFor(`agents at ${entry.process.name}`, processes, async () => {
        const given = { method: 'GET', address: entry.address, path: '/v1/fleet', secret: OPERATOR_SECRET } as const
        const answer = await client.send(given)
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
  for (const { speed } of upstreams) capacity += plan.slots * speed / plan.fastest
  return { platform, platformAddress, entries, upstreams, metrics, capacity, processes: () => processes, stop }
}
