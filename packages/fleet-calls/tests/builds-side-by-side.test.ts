import { describe, expect, it } from 'vitest'
import { Result, Schema } from 'effect'
import { CALLS, createMemberTable, type CallName, type Member } from '@baobabpost/fleet-calls'

const SIZE = { processor: 1_000, memory: 64, accelerators: 0 }
const MEMBER = { name: 'front-1', role: 'entry', address: '10.1.0.13:7720' }
const EVACUATIONS = { position: 3, domains: ['dakar-a'] }
const CALLER = {
  entry: 'front-1', incarnation: 'a', heardAt: 100, heardFrom: 'b', formerFence: 7, evacuations: EVACUATIONS
}
const STATE = {
  incarnation: 'b',
  clock: 120,
  cleared: true,
  profile: {
    version: 1,
    service: 'desk',
    failureDomain: 'dakar-a',
    capacity: SIZE,
    labels: ['r1'],
    accepting: true,
    instance: 5,
    routeFactors: { loans: 1.2 },
    crashes: { crashes: [{ id: 'b.1', candidates: [{ task: 't', route: 'loans', isUnconfirmed: true }] }], cleared: ['t'] },
    fence: 9,
    openOrders: [{ task: 't', until: 3_100 }],
    keptOrders: [{ task: 't', agent: 'a', incarnation: 'b', until: 3_100 }],
    leases: { entryMilliseconds: 570, runMilliseconds: 652.8 }
  },
  evacuations: EVACUATIONS,
  confirmed: [{ task: 't', run: 1 }],
  room: {
    free: SIZE, waiting: [0], releaseRate: 0, slowness: 1, failureShare: 0, runTimes: [12, 1, 0.1, 0.2, 9], pace: 1.5
  }
}
const ORDER = { task: 't', run: 1, size: SIZE, label: 'a', estimateMilliseconds: 60, awayFactor: 2, crashCount: 1 }

/** Messages with all fields of this build. */
const MESSAGES: Readonly<Record<CallName, { readonly parameters: object, readonly answer: object }>> = {
  watch: {
    parameters: { caller: CALLER, acknowledged: 0, profileVersion: 0, waitMilliseconds: 280 },
    answer: {
      ...STATE,
      reports: [{ sequence: 1, task: 't', run: 1, outcome: 'not-started', reason: '', milliseconds: 60, openOrderMilliseconds: 2_900 }]
    }
  },
  start: {
    parameters: {
      caller: CALLER,
      service: 'desk',
      specification: '{}',
      priority: 0,
      patienceMilliseconds: 0,
      isWhole: true,
      route: 'loans',
      estimateFactor: 1,
      remembered: { instance: 5, runTimes: [12, 1, 0.1, 0.2, 9] },
      orders: [ORDER]
    },
    answer: { ...STATE, verdicts: ['accepted', 'unsuitable'] }
  },
  stop: { parameters: { caller: CALLER, runs: [{ task: 't', run: 1 }], isOnlyWaiting: true }, answer: STATE },
  announce: {
    parameters: { member: MEMBER, digest: 7, since: { directory: 'c', revision: 2 } },
    answer: { directory: 'c', revision: 3, members: [MEMBER] }
  },
  askConfiguration: {
    parameters: { version: 4, evacuations: EVACUATIONS }, answer: { record: '{}', evacuations: EVACUATIONS }
  },
  tellEvacuations: { parameters: { evacuations: EVACUATIONS }, answer: { evacuations: EVACUATIONS } },
  tellCrashes: { parameters: { crashes: [{ id: 'a/1', candidates: [{ task: 't', route: 'r' }] }] }, answer: {} },
  tellOpenOrders: { parameters: { orders: [{ task: 't', agent: 'a', incarnation: 'b', milliseconds: 9_000 }] }, answer: {} }
}

/** Messages of the first build whose agents tell whether former runs are left (ce9e98f), which knows fewer fields. */
const EARLIEST_CALLER = { entry: 'front-1', incarnation: 'a', heardAt: 100 }
const EARLIEST_STATE = {
  incarnation: 'b',
  clock: 120,
  cleared: true,
  profile: { version: 1, service: 'desk', failureDomain: 'a', capacity: SIZE, labels: [], accepting: true },
  room: { free: SIZE, waiting: [], releaseRate: 0, slowness: 1, failureShare: 0 }
}
const EARLIEST_MESSAGES: Readonly<Partial<typeof MESSAGES>> = {
  watch: {
    parameters: { caller: EARLIEST_CALLER, acknowledged: 0, profileVersion: 0, waitMilliseconds: 200 },
    answer: { ...EARLIEST_STATE, reports: [] }
  },
  start: {
    parameters: {
      caller: EARLIEST_CALLER,
      specification: '{}',
      priority: 0,
      patienceMilliseconds: 0,
      orders: [{ task: 't', run: 1, size: SIZE, estimateMilliseconds: 60 }]
    },
    answer: { ...EARLIEST_STATE, verdicts: ['accepted'] }
  },
  stop: { parameters: { caller: EARLIEST_CALLER, runs: [] }, answer: EARLIEST_STATE },
  announce: { parameters: { member: MEMBER }, answer: { members: [MEMBER] } },
  askConfiguration: { parameters: {}, answer: { record: '{}' } }
}

/** Adds a field to each object of a message. */
function withLaterFields (value: unknown): unknown {
  if (Array.isArray(value)) return value.map(withLaterFields)
  if (typeof value !== 'object' || value === null) return value
  const fields = Object.entries(value).map(([name, field]) => [name, withLaterFields(field)] as const)
  return { ...Object.fromEntries(fields), ofLaterBuild: { nested: [1, null] } }
}

function decodes (name: CallName, part: 'parameters' | 'answer', message: unknown): boolean {
  return Result.isSuccess(Schema.decodeUnknownResult(CALLS[name][part])(message))
}

const CASES = Object.entries(MESSAGES).flatMap(([name, message]) => [
  [name as CallName, 'parameters', message.parameters] as const, [name as CallName, 'answer', message.answer] as const
])
const EARLIEST_CASES = Object.entries(EARLIEST_MESSAGES).flatMap(([name, message]) => [
  [name as CallName, 'parameters', message.parameters] as const, [name as CallName, 'answer', message.answer] as const
])

describe('messages between builds', () => {
  it.each(CASES)('decode with fields that only a later build knows: %s, %s', (name, part, message) => {
    expect(decodes(name, part, message)).toBe(true)
    // `routeFactors` holds numbers by name, so an object in it is no unknown field.
    const later = JSON.parse(JSON.stringify(withLaterFields(message)), (key, value: unknown) =>
      key === 'routeFactors' ? { loans: 1.2 } : value) as unknown
    expect(decodes(name, part, later)).toBe(true)
  })

  it.each(EARLIEST_CASES)('decode without the fields that an earlier build did not know: %s, %s', (name, part, message) => {
    expect(decodes(name, part, message)).toBe(true)
  })

  it('decode with a verdict, an outcome or a run time that only a later build knows', () => {
    expect(decodes('start', 'answer', { ...STATE, verdicts: ['accepted', 'of-later-build'] })).toBe(true)
    const report = { sequence: 1, task: 't', run: 1, outcome: 'of-later-build', reason: '', milliseconds: 60 }
    expect(decodes('watch', 'answer', { ...STATE, reports: [report] })).toBe(true)
    const room = { ...STATE.room, runTimes: [12, 1, 0.1, 0.2, 9, 'of-later-build'] }
    expect(decodes('stop', 'answer', { ...STATE, room })).toBe(true)
  })
})

it('tells all members to a process of a build that sends no digest', () => {
  const self: Member = { name: 'front-1', role: 'entry', address: '10.1.0.13:7720' }
  const agent: Member = { name: 'side-1', role: 'agent', address: '10.1.0.14:7720' }
  const table = createMemberTable({ self, incarnation: 'c', maximumAge: () => 20_000, hasRecentContact: () => false })
  table.add(agent, 0)
  const member: Member = { name: 'front-2', role: 'entry', address: '10.1.0.15:7720' }
  for (const now of [1, 500]) expect(table.answer({ member }, now).members).toEqual([self, agent])
})
