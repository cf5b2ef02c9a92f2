import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest'
import { silentLogger } from '@baobabpost/common'
import {
  CallError, createFleetDirectory, type Announce, type AnnounceAnswer, type CallClient, type FleetDirectory, type Member
} from '@baobabpost/fleet-calls'

/** One process of the simulated fleet, and what it sent and received. */
interface Process {
  readonly member: Member
  readonly directory: FleetDirectory
  readonly known: Map<string, string>
  announcements: number
  receivedBytes: number
}

interface SimulatedFleet {
  readonly processes: Process[]
  /** Addresses that do not answer. */
  readonly silent: Set<string>
  /** Addresses of VMs without power: no connection to them opens. */
  readonly off: Set<string>
  /** Addresses to which connections take `DISTANT_MILLISECONDS` to open. */
  readonly distant: Set<string>
  start: (name: string, role: Member['role'], address: string) => Process
}

const SEEDS = ['10.2.0.1:1', '10.2.0.2:1', '10.2.0.3:1']
/** Network delay of a call and its answer. */
const CALL_MILLISECONDS = 2
const DISTANT_MILLISECONDS = 150

function createSimulatedFleet (): SimulatedFleet {
  const processes: Process[] = []
  const silent = new Set<string>()
  const off = new Set<string>()
  const distant = new Set<string>()
  let incarnations = 0

  function start (name: string, role: Member['role'], address: string): Process {
    const known = new Map<string, string>()
    const client = {
      call: async (
        to: string, _name: string, parameters: Announce, timeout: number, connectTimeout = timeout
      ): Promise<AnnounceAnswer> => {
        process.announcements += 1
        const connectMilliseconds = off.has(to) ? Infinity : distant.has(to) ? DISTANT_MILLISECONDS : 0
        if (connectMilliseconds > 0) {
          await new Promise(resolve => { setTimeout(resolve, Math.min(connectTimeout, connectMilliseconds)) })
          if (connectMilliseconds > connectTimeout) throw new CallError('unanswered', 'no connection')
        }
        await new Promise(resolve => { setTimeout(resolve, CALL_MILLISECONDS) })
        const callee = processes.findLast(other => other.member.address === to)
        if (callee === undefined || silent.has(to) || silent.has(address)) throw new CallError('unanswered', 'timeout')
        const answer = callee.directory.handleAnnounce(parameters)
        process.receivedBytes += JSON.stringify(answer).length
        return answer
      },
      close: () => {}
    } as unknown as CallClient
    const process: Process = {
      member: { name, role, address },
      known,
      announcements: 0,
      receivedBytes: 0,
      directory: createFleetDirectory({
        self: { name, role, address },
        incarnation: String(incarnations += 1),
        seeds: SEEDS,
        client,
        logger: silentLogger,
        now: () => performance.now(),
        onMember: member => { known.set(member.name, member.address) },
        // Entries watch the agents they know, which is contact for both sides.
        hasRecentContact: other => processes.some(({ member, known: theirs }) =>
          member.name === other && member.role !== role && !silent.has(member.address) &&
          (role === 'agent' ? theirs.has(name) : known.has(other)))
      })
    }
    processes.push(process)
    return process
  }
  return { processes, silent, off, distant, start }
}

function startFleet (entries: number, agents: number): SimulatedFleet {
  const fleet = createSimulatedFleet()
  for (let index = 1; index <= entries; index += 1) fleet.start(`entry-${index}`, 'entry', `10.2.0.${index}:1`)
  for (let index = 1; index <= agents; index += 1) fleet.start(`agent-${index}`, 'agent', `10.1.0.${index}:1`)
  return fleet
}

/** Returns what each entry sends and receives in a calm second, as the mean over 60 s. */
async function measureCalm (fleet: SimulatedFleet): Promise<{ announcements: number, bytes: number }> {
  for (const process of fleet.processes) Object.assign(process, { announcements: 0, receivedBytes: 0 })
  await vi.advanceTimersByTimeAsync(60_000)
  const entries = fleet.processes.filter(({ member }) => member.role === 'entry')
  const total = (field: 'announcements' | 'receivedBytes'): number =>
    entries.reduce((sum, process) => sum + process[field], 0) / entries.length / 60
  return { announcements: total('announcements'), bytes: total('receivedBytes') }
}

let fleet: SimulatedFleet
beforeEach(() => {
  vi.useFakeTimers({ toFake: ['setTimeout', 'clearTimeout', 'performance', 'Date'] })
})
afterEach(() => {
  for (const { directory } of fleet.processes) directory.close()
  vi.useRealTimers()
})

describe('the directory of a fleet', { timeout: 120_000 }, () => {
  // VMs get their power back one after the other. The first processes waited 400 ms for a seed that had none, and found
  // nobody for up to that time after it was up.
  it('is found within 120 ms of the moment at which the seeds are up, also by processes that started before', async () => {
    fleet = createSimulatedFleet()
    for (const seed of SEEDS) fleet.off.add(seed)
    const agents = [0, 1, 2, 3, 4].map(index => fleet.start(`agent-${index}`, 'agent', `10.1.0.${index}:1`))
    await vi.advanceTimersByTimeAsync(230)
    fleet.off.clear()
    const entry = fleet.start('entry-1', 'entry', SEEDS[0] ?? '')
    await vi.advanceTimersByTimeAsync(120)
    expect(entry.known.size).toBe(agents.length)
  })

  it('finds seeds whose connections take longer than that to open', async () => {
    fleet = createSimulatedFleet()
    const agent = fleet.start('agent-1', 'agent', '10.1.0.1:1')
    fleet.start('entry-1', 'entry', SEEDS[0] ?? '')
    for (const seed of SEEDS) fleet.distant.add(seed)
    await vi.advanceTimersByTimeAsync(600)
    expect(agent.known.size).toBe(1)
  })

  // Each answer listed every member, and each entry announced itself to each other one every 2 s: 11 MB/s for 35
  // entries and 160 agents, most of it between failure domains.
  it('costs a calm entry the same bytes in a fleet that is three times as large', async () => {
    fleet = startFleet(8, 24)
    await vi.advanceTimersByTimeAsync(10_000)
    const small = await measureCalm(fleet)
    for (const { directory } of fleet.processes) directory.close()
    fleet = startFleet(24, 72)
    await vi.advanceTimersByTimeAsync(10_000)
    const large = await measureCalm(fleet)
    expect(large.bytes).toBeLessThan(1.5 * small.bytes)
    expect(large.announcements).toBeLessThan(1.5 * small.announcements)
    expect(large.bytes).toBeLessThan(500)
  })

  it('lets all processes that start at once know each other within 1 s', async () => {
    fleet = startFleet(12, 36)
    await vi.advanceTimersByTimeAsync(1_000)
    for (const { member, known } of fleet.processes) {
      const entries = member.role === 'entry' ? 11 : 12
      expect([...known.keys()].filter(name => name.startsWith('entry')).length).toBe(entries)
      if (member.role === 'entry') expect(known.size).toBe(11 + 36)
    }
  })

  it('tells every entry of a new agent within 1 s, and of a member that is back at another address', async () => {
    fleet = startFleet(8, 8)
    await vi.advanceTimersByTimeAsync(10_000)
    fleet.start('agent-new', 'agent', '10.1.0.99:1')
    fleet.silent.add('10.2.0.8:1')
    fleet.start('entry-8', 'entry', '10.2.0.98:1')
    await vi.advanceTimersByTimeAsync(1_000)
    for (const { member, known } of fleet.processes) {
      if (member.role !== 'entry' || member.address === '10.2.0.8:1') continue
      expect(known.get('agent-new')).toBe('10.1.0.99:1')
      if (member.name !== 'entry-8') expect(known.get('entry-8')).toBe('10.2.0.98:1')
    }
  })

  it('gives a restarted entry the whole fleet within 1 s', async () => {
    fleet = startFleet(8, 24)
    await vi.advanceTimersByTimeAsync(10_000)
    fleet.processes[4]?.directory.close()
    const restarted = fleet.start('entry-5', 'entry', '10.2.0.5:1')
    await vi.advanceTimersByTimeAsync(1_000)
    expect(restarted.known.size).toBe(7 + 24)
  })

  it('tells two halves of a fleet of what happened in the other one after their partition', async () => {
    fleet = startFleet(8, 8)
    await vi.advanceTimersByTimeAsync(10_000)
    for (let index = 5; index <= 8; index += 1) fleet.silent.add(`10.2.0.${index}:1`)
    await vi.advanceTimersByTimeAsync(30_000)
    fleet.start('entry-9', 'entry', '10.2.0.9:1')
    await vi.advanceTimersByTimeAsync(5_000)
    fleet.silent.clear()
    await vi.advanceTimersByTimeAsync(5_000)
    for (const { member, known } of fleet.processes) {
      if (member.role === 'entry' && member.name !== 'entry-9') expect(known.get('entry-9')).toBe('10.2.0.9:1')
    }
  })
})
