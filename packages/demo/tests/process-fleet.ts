/** A fleet whose entries and agents are real processes, so that they can be killed; the stand-ins stay in the test. */
import { spawn, type ChildProcess } from 'node:child_process'
import { fileURLToPath } from 'node:url'
import { PARTITION_COUNT } from '@baobabpost/common'
import { callerSecret, OPERATOR_SECRET, send } from '@baobabpost/demo'
import type { FleetStatus } from '@baobabpost/messages'
import { createStandInPlatform, type StandInPlatform } from '@baobabpost/stand-in-platform'
import { createStandInUpstream, type StandInUpstream } from '@baobabpost/stand-in-upstream'
import { CUSTOMERS, SLOTS } from './small-fleet.js'

const PACKAGES = fileURLToPath(new URL('../../', import.meta.url))
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

/**
 * Addresses of this test alone: a loopback network by process id, so that no port taken elsewhere is in the way.
 */
const NETWORK = `127.${100 + process.pid % 100}.${1 + Math.floor(process.pid / 100) % 250}`
const SERVING_MILLISECONDS = 50_000
const LISTEN_PORT = 8_081
const LINK_PORT = 7_001

function start (program: string, flags: Record<string, string>, logs: string[]): ChildProcess {
  const given = Object.entries(flags).flatMap(([name, value]) => [`--${name}`, value])
  const child = spawn(process.execPath, [`${PACKAGES}${program}/dist/main.js`, ...given], {
    stdio: ['ignore', 'ignore', 'pipe'], env: { PATH: process.env.PATH }
  })
  child.stderr.on('data', (chunk: Buffer) => { logs.push(chunk.toString()) })
  return child
}

export async function until (condition: () => Promise<boolean> | boolean, milliseconds = 20_000): Promise<void> {
  const giveUpAt = Date.now() + milliseconds
  while (!await condition()) {
    if (Date.now() > giveUpAt) throw new Error('waited too long')
    await new Promise(resolve => setTimeout(resolve, 50))
  }
}

/** Whether every partition is served and every agent known, as each entry says. */
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
  const keys = CUSTOMERS.map(customer => `caller:${customer}:${callerSecret(customer)}`)
  const accessKeys = [`operator:test:${OPERATOR_SECRET}`, ...keys].join(',')
  const linkAddresses: string[] = []
  const entries: ProcessEntry[] = []
  const agents: ProcessAgent[] = []
  for (let number = 1; number <= entryCount; number += 1) {
    const listenAddress = `${NETWORK}.${number}:${LISTEN_PORT}`
    const linkAddress = `${NETWORK}.${number}:${LINK_PORT}`
    const child = start('entry', {
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
  for (const [place, speed] of speeds.entries()) {
    const name = `agent-${place + 1}`
    const upstream = await createStandInUpstream({ name, port: 0, slots: SLOTS, speed, defaultMilliseconds: 100 })
    const child = start('agent', {
      name,
      'failure-domain': `dakar-${place % entryCount + 1}`,
      service: 'lending',
      'listen-address': `${NETWORK}.${100 + place}:${LINK_PORT}`,
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
  await until(() => isServing(fleet), SERVING_MILLISECONDS)
  return fleet
}
