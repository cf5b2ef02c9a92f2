import { describe, expect, it } from 'vitest'
import { silentLogger } from '@baobabpost/common'
import { createDispatcher, type Dispatcher } from '@baobabpost/dispatching'
import { ENTRY_LEASE_MILLISECONDS, KEPT_LEASES } from '@baobabpost/fleet-calls'

const SIZE = { processor: 10_000, memory: 64, accelerators: 0 }
const CAPACITY = { processor: 64_000, memory: 65_536, accelerators: 0 }
/** Limit for control traffic of a node, 13 KB/s, at 669 bytes per watch call. */
const WATCHES_PER_SECOND = 19.4

interface TestEntry {
  readonly dispatcher: Dispatcher
  /** Names of the agents that were sent tasks. */
  readonly usedAgents: Set<string>
}

function createEntry (agents: number): TestEntry {
  const usedAgents = new Set<string>()
  const dispatcher = createDispatcher({
    entry: 'entry-1',
    incarnation: '1',
    failureDomain: 'domain-1',
    logger: silentLogger,
    sendStart: ({ name }) => { usedAgents.add(name) },
    sendStop: () => {}
  })
  for (let index = 1; index <= agents; index += 1) dispatcher.agentFound(`agent-${index}`, `10.1.0.${index}:7720`)
  return { dispatcher, usedAgents }
}

/** Handles answers of all agents, or of those with these names. */
function hearFrom (
  { dispatcher }: TestEntry, now: number, names?: ReadonlySet<string>, failureDomain = 'domain-1'
): void {
  for (const view of dispatcher.agents()) {
    if (names !== undefined && !names.has(view.name)) continue
    dispatcher.watchAnswered(view, {
      incarnation: '1',
      clock: now,
      cleared: true,
      reports: [],
      room: { free: CAPACITY, waiting: [], releaseRate: 0, slowness: 1, failureShare: 0 },
      profile: {
        version: 1,
        service: 'desk',
        failureDomain,
        capacity: CAPACITY,
        labels: [],
        accepting: true,
        leases: KEPT_LEASES
      }
    }, now)
  }
}

function submit ({ dispatcher }: TestEntry, number: number, taskCount: number, now: number): void {
  dispatcher.submit({
    id: number.toString(16).padStart(16, '0'),
    route: 'route',
    service: 'desk',
    priority: 0,
    specification: '{}',
    steps: [{
      taskCount,
      size: SIZE,
      estimateMilliseconds: 100,
      dependsOn: [],
      label: undefined,
      rack: undefined,
      maximumPerUpstream: undefined
    }],
    maximumAttempts: 1,
    stretch: 1.6,
    targetLatencyMilliseconds: 5_000,
    arrivedAt: now,
    deadlineAt: now + 20_000
  }, () => {}, now)
}

function waitsOf ({ dispatcher }: TestEntry): number[] {
  return [...dispatcher.agents()].map(view => dispatcher.nextWatch(view).waitMilliseconds)
}

function callRate (waits: readonly number[]): number {
  return waits.reduce((sum, wait) => sum + 1_000 / wait, 0)
}

describe('an entry in a region of 160 agents', () => {
  it('keeps the watches of idle agents within the control traffic of a node', () => {
    const entry = createEntry(160)
    hearFrom(entry, 0)
    expect(callRate(waitsOf(entry))).toBeLessThan(WATCHES_PER_SECOND)
  })

  it('hears of each agent of its own failure domain within 4 s at that rate', () => {
    const entry = createEntry(160)
    const near = new Set(Array.from({ length: 32 }, (_, index) => `agent-${index + 1}`))
    hearFrom(entry, 0, undefined, 'domain-2')
    hearFrom(entry, 0, near)
    const waits = waitsOf(entry)
    expect(Math.max(...waits.slice(0, near.size))).toBeLessThanOrEqual(4_000)
    expect(callRate(waits)).toBeLessThan(WATCHES_PER_SECOND)
  })

  it('sends no order that its agent refuses as stale while an agent heard of since has room', () => {
    const entry = createEntry(160)
    hearFrom(entry, 0)
    const heard = new Set(['agent-7', 'agent-40', 'agent-99', 'agent-120'])
    hearFrom(entry, ENTRY_LEASE_MILLISECONDS, heard)
    for (let number = 0; number < 8; number += 1) submit(entry, number, 2, ENTRY_LEASE_MILLISECONDS)
    expect([...entry.usedAgents].filter(name => !heard.has(name))).toEqual([])
  })

  it('tries agents that it has not heard of lately once the others have no room', () => {
    const entry = createEntry(160)
    hearFrom(entry, 0)
    hearFrom(entry, ENTRY_LEASE_MILLISECONDS, new Set(['agent-7']))
    for (let number = 0; number < 8; number += 1) submit(entry, number, 2, ENTRY_LEASE_MILLISECONDS)
    expect(entry.usedAgents.size).toBeGreaterThan(2)
  })
})
