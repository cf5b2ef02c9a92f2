/** A whole fleet on loopback within one process: the stand-ins, entries in failure domains, agents beside upstreams. */
import { startAgent, type RunningAgent } from '@baobabpost/agent'
import type { LogLevel } from '@baobabpost/common'
import { startEntry, type RunningEntry } from '@baobabpost/entry'
import { createStandInPlatform, type StandInPlatform } from '@baobabpost/stand-in-platform'
import { createStandInUpstream, type StandInUpstream } from '@baobabpost/stand-in-upstream'

const LINK_KEY = 'shared key of the links'
const DEFAULT_WORK_MILLISECONDS = 100
const ANY_PORT = '127.0.0.1:0'

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
  /** Planned stop of everything. */
  readonly stop: () => Promise<void>
}

function accessKeys (customers: readonly string[]): string {
  const callers = customers.map(customer => `caller:${customer}:${callerSecret(customer)}`)
  return [`operator:demo:${OPERATOR_SECRET}`, ...callers].join(',')
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
  for (const [place, failureDomain] of plan.failureDomains.entries()) {
    const firstPort = plan.firstPort ?? 0
    entries.push(await startEntry({
      name: `entry-${place + 1}`,
      failureDomain,
      listenAddress: `127.0.0.1:${firstPort === 0 ? 0 : firstPort + place}`,
      linkAddress: ANY_PORT,
      advertisedLinkAddress: '',
      platformLogAddress: platform.address,
      peerAddresses: entries.map(entry => entry.linkAddress),
      linkKeys: [LINK_KEY],
      accessKeys: accessKeys(plan.customers),
      accessKeyFile: '',
      certificateFile: '',
      certificateKeyFile: '',
      logLevel: plan.logLevel,
      metricsAddress: '',
      policy: 'default',
      keyWindowMilliseconds: 600_000,
      clockSkewMilliseconds: 2_000,
      logRetentionMilliseconds: 86_400_000,
      maximumQueuedTasks: 200_000,
      stopTimeoutMilliseconds: 20_000
    }))
  }
  const upstreams: FleetUpstream[] = []
  for (const [place, agentPlan] of plan.agents.entries()) {
    const upstream = await createStandInUpstream({
      name: `upstream-${place + 1}`,
      port: 0,
      slots: plan.slots,
      speed: agentPlan.speed,
      defaultMilliseconds: DEFAULT_WORK_MILLISECONDS
    })
    const agent = await startAgent({
      name: `agent-${place + 1}`,
      listenAddress: ANY_PORT,
      advertisedAddress: '',
      failureDomain: plan.failureDomains[place % plan.failureDomains.length] ?? 'none',
      service: agentPlan.service,
      slots: plan.slots,
      connections: 60,
      upstreamAddress: upstream.address,
      entryAddresses: entries.map(entry => entry.linkAddress),
      linkKeys: [LINK_KEY],
      logLevel: plan.logLevel,
      metricsAddress: '',
      keyWindowMilliseconds: 600_000,
      leaseMilliseconds: 3_000,
      clockSkewMilliseconds: 2_000,
      upstreamIdleMilliseconds: 2_000,
      stopTimeoutMilliseconds: 10_000
    })
    upstreams.push({ plan: agentPlan, upstream, agent })
  }

  return {
    platform,
    entries,
    upstreams,
    async stop () {
      await Promise.all(upstreams.map(({ agent }) => agent.stop()))
      await Promise.all(upstreams.map(({ upstream }) => upstream.close()))
      await Promise.all(entries.map(entry => entry.stop()))
      await platform.close()
    }
  }
}
