/** A whole fleet on loopback within one process: the stand-ins, entries in failure domains, agents beside upstreams. */
import { startAgent, type RunningAgent } from '@baobabpost/agent'
import type { LogLevel } from '@baobabpost/common'
import { startEntry, type RunningEntry } from '@baobabpost/entry'
import { createStandInPlatform, type StandInPlatform } from '@baobabpost/stand-in-platform'
import { createStandInUpstream, type StandInUpstream } from '@baobabpost/stand-in-upstream'

const LINK_KEY = 'shared key of the links'
const DEFAULT_WORK_MILLISECONDS = 100
const ANY_PORT = '127.0.0.1:0'
const KEY_WINDOW_MILLISECONDS = 600_000
const CLOCK_SKEW_MILLISECONDS = 2_000
const LOG_RETENTION_MILLISECONDS = 86_400_000
const STOP_TIMEOUT_MILLISECONDS = 20_000

/** Secret of the operator's key. */
export const OPERATOR_SECRET = 'operator-of-the-demo'

/** Secret of a customer's key. */
export function callerSecret (customer: string): string {
  return `caller-of-${customer}`
}

/** An agent to start, with its upstream. */
export interface FleetAgentPlan {
  readonly service: string
  /** Speed of the upstream: 2 runs a task in half its time. */
  readonly speed: number
}

/** What a fleet consists of. */
export interface FleetPlan {
  readonly failureDomains: readonly string[]
  readonly agents: readonly FleetAgentPlan[]
  readonly slots: number
  readonly customers: readonly string[]
  readonly logLevel: LogLevel
  /** First port of the entries; 0 takes any. */
  readonly firstPort?: number
}

/** A running agent with its upstream. */
export interface FleetUpstream {
  readonly plan: FleetAgentPlan
  readonly upstream: StandInUpstream
  readonly agent: RunningAgent
}

/** A running fleet. */
export interface Fleet {
  readonly platform: StandInPlatform
  readonly entries: readonly RunningEntry[]
  readonly upstreams: readonly FleetUpstream[]
  /** Starts one more entry. */
  readonly addEntry: (failureDomain: string) => Promise<RunningEntry>
  /** Starts a new agent beside an upstream, as a replacement of the one that was there. */
  readonly addAgent: (replaced: FleetUpstream) => Promise<FleetUpstream>
  /** Planned stop of one entry, which leaves the fleet. */
  readonly stopEntry: (entry: RunningEntry) => Promise<void>
  /** Planned stop of one agent, which leaves the fleet; its upstream stays. */
  readonly stopAgent: (upstream: FleetUpstream) => Promise<void>
  /** Planned stop of everything. */
  readonly stop: () => Promise<void>
}

function accessKeys (customers: readonly string[]): string {
  const callers = customers.map(customer => `caller:${customer}:${callerSecret(customer)}`)
  return [`operator:demo:${OPERATOR_SECRET}`, ...callers].join(',')
}

/** What an entry of the fleet is started with. */
interface EntryStart {
  readonly number: number
  readonly failureDomain: string
  readonly platformAddress: string
  readonly peerAddresses: readonly string[]
}

function startFleetEntry (plan: FleetPlan, start: EntryStart): Promise<RunningEntry> {
  const firstPort = plan.firstPort ?? 0
  return startEntry({
    name: `entry-${start.number}`,
    failureDomain: start.failureDomain,
    listenAddress: `127.0.0.1:${firstPort === 0 ? 0 : firstPort + start.number - 1}`,
    linkAddress: ANY_PORT,
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
    stopTimeoutMilliseconds: STOP_TIMEOUT_MILLISECONDS
  })
}

/** What an agent of the fleet is started with. */
interface AgentStart {
  readonly number: number
  readonly agentPlan: FleetAgentPlan
  readonly failureDomain: string
  readonly upstreamAddress: string
  readonly entryAddresses: readonly string[]
}

function startFleetAgent (plan: FleetPlan, start: AgentStart): Promise<RunningAgent> {
  return startAgent({
    name: `agent-${start.number}`,
    listenAddress: ANY_PORT,
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
    stopTimeoutMilliseconds: STOP_TIMEOUT_MILLISECONDS
  })
}

/**
 * Starts a fleet.
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

  async function startBeside (agentPlan: FleetAgentPlan, upstream: StandInUpstream): Promise<FleetUpstream> {
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
    await startBeside(agentPlan, upstream)
  }

  for (const failureDomain of plan.failureDomains) await addEntry(failureDomain)
  for (const agentPlan of plan.agents) await addUpstream(agentPlan)

  return {
    platform,
    entries,
    upstreams,
    addEntry,
    addAgent: replaced => startBeside(replaced.plan, replaced.upstream),
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
