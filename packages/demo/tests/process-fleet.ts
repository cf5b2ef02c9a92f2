/** A fleet whose entries and agents are child processes that a test can kill; the stand-ins run in the test process. */
import { spawn, type ChildProcess } from 'node:child_process'
import { fileURLToPath } from 'node:url'
import { PARTITION_COUNT } from '@baobabpost/common'
import { callerSecret, OPERATOR_SECRET, send } from '@baobabpost/demo'
import type { FleetStatus } from '@baobabpost/messages'
import { createStandInPlatform, type StandInPlatform } from '@baobabpost/stand-in-platform'
import { createStandInUpstream, type StandInUpstream } from '@baobabpost/stand-in-upstream'
import { CUSTOMERS, SLOTS } from './small-fleet.js'

const PACKAGES_DIRECTORY = fileURLToPath(new URL('../../', import.meta.url))
const LINK_KEY = 'shared key of the links'

export interface ProcessEntry { readonly name: string, readonly url: string, readonly child: ChildProcess }
export interface ProcessAgent {
  readonly name: string
  readonly upstream: StandInUpstream
  readonly child: ChildProcess
}

export interface ProcessFleet {
  readonly platform: StandInPlatform
  readonly entries: ProcessEntry[]
  readonly agents: ProcessAgent[]
  readonly logs: string[]
  readonly close: () => Promise<void>
}

/** Loopback network derived from the process id, so that ports used by other processes don't conflict. */
const LOOPBACK_NETWORK = `127.${100 + process.pid % 100}.${1 + Math.floor(process.pid / 100) % 250}`
const SERVING_TIMEOUT_MILLISECONDS = 50_000
const LISTEN_PORT = 8_081
const LINK_PORT = 7_001

function spawnProgram (program: string, flags: Record<string, string>, logs: string[]): ChildProcess {
  const argv = Object.entries(flags).flatMap(([name, value]) => [`--${name}`, value])
  const child = spawn(process.execPath, [`${PACKAGES_DIRECTORY}${program}/dist/main.js`, ...argv], {
    stdio: ['ignore', 'ignore', 'pipe'], env: { PATH: process.env.PATH }
  })
  child.stderr.on('data', (chunk: Buffer) => { logs.push(chunk.toString()) })
  return child
}

export async function waitUntil (
  condition: () => Promise<boolean> | boolean, timeoutMilliseconds = 20_000
): Promise<void> {
  const deadline = Date.now() + timeoutMilliseconds
  while (!await condition()) {
    if (Date.now() > deadline) throw new Error('condition not met before the timeout')
    await new Promise(resolve => setTimeout(resolve, 50))
  }
}

/** Whether every entry is ready, knows every agent and reports that all partitions are owned. */
async function isServing (fleet: ProcessFleet): Promise<boolean> {
  for (const entry of fleet.entries) {
    const answer = await send({ method: 'GET', url: entry.url, path: '/v1/fleet', secret: OPERATOR_SECRET })
      .catch(() => undefined)
    const status = answer?.body as FleetStatus | undefined
    if (status?.state !== 'ready' || status.agents.length < fleet.agents.length) return false
    if (status.entries.reduce((sum, { partitionsOwned }) => sum + partitionsOwned, 0) !== PARTITION_COUNT) return false
  }
  return true
}

export async function startProcessFleet (entryCount: number, speeds: readonly number[]): Promise<ProcessFleet> {
  const platform = await createStandInPlatform()
  const logs: string[] = []
  const callerKeys = CUSTOMERS.map(customer => `caller:${customer}:${callerSecret(customer)}`)
  const accessKeys = [`operator:test:${OPERATOR_SECRET}`, ...callerKeys].join(',')
  const linkAddresses: string[] = []
  const entries: ProcessEntry[] = []
  const agents: ProcessAgent[] = []
  for (let number = 1; number <= entryCount; number += 1) {
    const listenAddress = `${LOOPBACK_NETWORK}.${number}:${LISTEN_PORT}`
    const linkAddress = `${LOOPBACK_NETWORK}.${number}:${LINK_PORT}`
    const child = spawnProgram('entry', {
      name: `entry-${number}`,
      'failure-domain': `dakar-${number}`,
      'listen-address': listenAddress,
      'link-address': linkAddress,
      'platform-log-address': platform.address,
      'peer-addresses': linkAddresses.join(','),
      'link-keys': LINK_KEY,
      'access-keys': accessKeys,
      'log-level': 'warn'
    }, logs)
    linkAddresses.push(linkAddress)
    entries.push({ name: `entry-${number}`, url: `http://${listenAddress}`, child })
  }
  for (const [agentIndex, speed] of speeds.entries()) {
    const name = `agent-${agentIndex + 1}`
    const upstream = await createStandInUpstream({ name, port: 0, slots: SLOTS, speed, defaultMilliseconds: 100 })
    const child = spawnProgram('agent', {
      name,
      'failure-domain': `dakar-${agentIndex % entryCount + 1}`,
      service: 'lending',
      'listen-address': `${LOOPBACK_NETWORK}.${100 + agentIndex}:${LINK_PORT}`,
      slots: String(SLOTS),
      'upstream-address': upstream.address,
      'entry-addresses': linkAddresses.join(','),
      'link-keys': LINK_KEY,
      'log-level': 'warn'
    }, logs)
    agents.push({ name, upstream, child })
  }
  const fleet: ProcessFleet = {
    platform,
    entries,
    agents,
    logs,
    async close () {
      for (const { child } of [...entries, ...agents]) child.kill('SIGKILL')
      await Promise.all(agents.map(({ upstream }) => upstream.close()))
      await platform.close()
    }
  }
  await waitUntil(() => isServing(fleet), SERVING_TIMEOUT_MILLISECONDS)
  return fleet
}
