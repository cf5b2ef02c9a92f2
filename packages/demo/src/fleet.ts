/** Runs a fleet on loopback within one process: stand-ins, entries in failure domains, and agents beside upstreams. */
import { startAgent, type RunningAgent } from '@baobabpost/agent'
import { DEFAULT_PROCESS_LIMITS } from '@baobabpost/client-limits'
import type { LogLevel } from '@baobabpost/common'
import { startEntry, type RunningEntry } from '@baobabpost/entry'
import { createStandInPlatform, type StandInPlatform } from '@baobabpost/stand-in-platform'
import { createStandInUpstream, type StandInUpstream } from '@baobabpost/stand-in-upstream'

const LINK_KEY = 'shared key of the links'
const DEFAULT_WORK_MILLISECONDS = 100
const ANY_LOOPBACK_PORT = '127.0.0.1:0'
const KEY_WINDOW_MILLISECONDS = 600_000
const CLOCK_SKEW_MILLISECONDS = 2_000
const LOG_RETENTION_MILLISECONDS = 86_400_000
const STOP_TIMEOUT_MILLISECONDS = 20_000

/** Secret of the operator's access key. */
export const OPERATOR_SECRET = 'operator-of-the-demo'

/** Returns the secret of a customer's access key. */
export function callerSecret (customer: string): string {
  return `caller-of-${customer}`
}

/** An agent to start together with its upstream. */
export interface FleetAgentPlan {
  readonly service: string
  /** Divisor of the upstream's run times: at 2, a task takes half its time. */
  readonly speed: number
}

/** Composition of a fleet: one entry per failure domain, and the agents spread over the domains in turn. */
export interface FleetPlan {
  readonly failureDomains: readonly string[]
  readonly agents: readonly FleetAgentPlan[]
  readonly slots: number
  readonly customers: readonly string[]
  readonly logLevel: LogLevel
  /** Listen port of the first entry, counted up for the others; 0 selects free ports. */
  readonly firstPort?: number
}

export interface FleetUpstream {
  readonly plan: FleetAgentPlan
  readonly upstream: StandInUpstream
  readonly agent: RunningAgent
}

export interface Fleet {
  readonly platform: StandInPlatform
  readonly entries: readonly RunningEntry[]
  readonly upstreams: readonly FleetUpstream[]
  /** Starts an additional entry. */
  readonly addEntry: (failureDomain: string) => Promise<RunningEntry>
  /** Starts a new agent beside the upstream of the agent that it replaces. */
  readonly addAgent: (replaced: FleetUpstream) => Promise<FleetUpstream>
  /** Shuts an entry down gracefully and removes it from `entries`. */
  readonly stopEntry: (entry: RunningEntry) => Promise<void>
  /** Shuts an agent down gracefully and removes it from `upstreams`; its upstream keeps running. */
  readonly stopAgent: (upstream: FleetUpstream) => Promise<void>
  /** Shuts the agents, upstreams, entries and the platform log down in this order. */
  readonly stop: () => Promise<void>
}

function accessKeys (customers: readonly string[]): string {
  const callers = customers.map(customer => `caller:${customer}:${callerSecret(customer)}`)
  return [`operator:demo:${OPERATOR_SECRET}`, ...callers].join(',')
}

interface EntryStartOptions {
  readonly number: number
  readonly failureDomain: string
  readonly platformAddress: string
  readonly peerAddresses: readonly string[]
}

function startFleetEntry (plan: FleetPlan, start: EntryStartOptions): Promise<RunningEntry> {
  const firstPort = plan.firstPort ?? 0
  return startEntry({
    name: `entry-${start.number}`,
    failureDomain: start.failureDomain,
    listenAddress: `127.0.0.1:${firstPort === 0 ? 0 : firstPort + start.number - 1}`,
    linkAddress: ANY_LOOPBACK_PORT,
    advertisedLinkAddress: '',
    platformLogAddress: start.platformAddress,
    peerAddresses: start.peerAddresses,
    linkKeys: [LINK_KEY],
    accessKeys: accessKeys(plan.customers),
    accessKeyFile: '',
    certificateFile: '',
    certificateKeyFile: '',
    logLevel: plan.logLevel,
    metricsAddress: '',
    policy: 'default',
    keyWindowMilliseconds: KEY_WINDOW_MILLISECONDS,
    clockSkewMilliseconds: CLOCK_SKEW_MILLISECONDS,
    logRetentionMilliseconds: LOG_RETENTION_MILLISECONDS,
    maximumQueuedTasks: 200_000,
    stopTimeoutMilliseconds: STOP_TIMEOUT_MILLISECONDS,
    memoryLimitMegabytes: DEFAULT_PROCESS_LIMITS.memoryMegabytes,
    descriptorLimit: DEFAULT_PROCESS_LIMITS.descriptors
  })
}

interface AgentStartOptions {
  readonly number: number
  readonly agentPlan: FleetAgentPlan
  readonly failureDomain: string
  readonly upstreamAddress: string
  readonly entryAddresses: readonly string[]
}

function startFleetAgent (plan: FleetPlan, start: AgentStartOptions): Promise<RunningAgent> {
  return startAgent({
    name: `agent-${start.number}`,
    listenAddress: ANY_LOOPBACK_PORT,
    advertisedAddress: '',
    failureDomain: start.failureDomain,
    service: start.agentPlan.service,
    slots: plan.slots,
    connections: 60,
    upstreamAddress: start.upstreamAddress,
    entryAddresses: start.entryAddresses,
    linkKeys: [LINK_KEY],
    logLevel: plan.logLevel,
    metricsAddress: '',
    keyWindowMilliseconds: KEY_WINDOW_MILLISECONDS,
    leaseMilliseconds: 3_000,
    clockSkewMilliseconds: CLOCK_SKEW_MILLISECONDS,
    upstreamIdleMilliseconds: 2_000,
    stopTimeoutMilliseconds: STOP_TIMEOUT_MILLISECONDS,
    memoryLimitMegabytes: DEFAULT_PROCESS_LIMITS.memoryMegabytes,
    descriptorLimit: DEFAULT_PROCESS_LIMITS.descriptors
  })
}

/**
 * Starts the platform log, the entries and the agents with their upstreams.
 *
 * @example
 * const agents = [{ service: 'lending', speed: 1 }]
 * const fleet = await startFleet({ failureDomains: ['dakar-1'], agents, slots: 8, customers: [], logLevel: 'warn' })
 */
export async function startFleet (plan: FleetPlan): Promise<Fleet> {
  const platform = await createStandInPlatform()
  const entries: RunningEntry[] = []
  const upstreams: FleetUpstream[] = []
  let entryCount = 0
  let agentCount = 0

  async function addEntry (failureDomain: string): Promise<RunningEntry> {
    entryCount += 1
    const peerAddresses = entries.map(entry => entry.linkAddress)
    const start = { number: entryCount, failureDomain, platformAddress: platform.address, peerAddresses }
    const entry = await startFleetEntry(plan, start)
    entries.push(entry)
    return entry
  }

  async function startAgentBeside (agentPlan: FleetAgentPlan, upstream: StandInUpstream): Promise<FleetUpstream> {
    const failureDomain = plan.failureDomains[agentCount % plan.failureDomains.length] ?? 'none'
    agentCount += 1
    const entryAddresses = entries.map(entry => entry.linkAddress)
    const agent = await startFleetAgent(plan, {
      number: agentCount, agentPlan, failureDomain, upstreamAddress: upstream.address, entryAddresses
    })
    const started = { plan: agentPlan, upstream, agent }
    upstreams.push(started)
    return started
  }

  async function addUpstream (agentPlan: FleetAgentPlan): Promise<void> {
    const upstream = await createStandInUpstream({
      name: `upstream-${agentCount + 1}`,
      port: 0,
      slots: plan.slots,
      speed: agentPlan.speed,
      defaultMilliseconds: DEFAULT_WORK_MILLISECONDS
    })
    await startAgentBeside(agentPlan, upstream)
  }

  for (const failureDomain of plan.failureDomains) await addEntry(failureDomain)
  for (const agentPlan of plan.agents) await addUpstream(agentPlan)

  return {
    platform,
    entries,
    upstreams,
    addEntry,
    addAgent: replaced => startAgentBeside(replaced.plan, replaced.upstream),
    async stopEntry (entry) {
      await entry.stop()
      entries.splice(entries.indexOf(entry), 1)
    },
    async stopAgent (upstream) {
      await upstream.agent.stop()
      upstreams.splice(upstreams.indexOf(upstream), 1)
    },
    async stop () {
      await Promise.all(upstreams.map(({ agent }) => agent.stop()))
      await Promise.all([...new Set(upstreams.map(({ upstream }) => upstream))].map(upstream => upstream.close()))
      await Promise.all(entries.map(entry => entry.stop()))
      await platform.close()
    }
  }
}
