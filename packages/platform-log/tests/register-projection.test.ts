import { describe, expect, test } from 'vitest'
import type { LogEntry } from '@baobabpost/messages'
import { agentRegistration, batchOf, createProjectionFixture, entryOf, RETENTION_MILLISECONDS, team } from './log-fixture.js'

const AGENT = 'agent-1@01930000-0000-7000-8000-000000000001'

function write (register: string, replaces: number, value: unknown): { kind: 'write', register: string, replaces: number, value: unknown } {
  return { kind: 'write', register, replaces, value }
}

describe('writes', () => {
  test('a write takes effect only if it replaces the current version, so that one of two concurrent writes wins', () => {
    const { projection, outcomes } = createProjectionFixture()
    const log = [
      entryOf(1, [write('team/medina', 0, team('medina', 1))], 'first'),
      entryOf(2, [write('team/medina', 1, team('medina', 2))], 'winner'),
      entryOf(3, [write('team/medina', 1, team('medina', 3))], 'loser')
    ]
    const changes = projection.apply(batchOf(log, 1), 0)
    expect(changes.map(change => [change.previousVersion, change.version])).toEqual([[0, 1], [1, 2]])
    expect(projection.read('team/medina')).toEqual({ register: 'team/medina', version: 2, value: team('medina', 2) })
    expect(outcomes.map(outcome => [outcome.nonce, outcome.isApplied, outcome.version]))
      .toEqual([['first', true, 1], ['winner', true, 2], ['loser', false, 2]])
  })

  test('each write of a record is applied or rejected independently of the others', () => {
    const { projection } = createProjectionFixture()
    const log = [entryOf(1, [write('team/a', 7, team('a')), write('team/b', 0, team('b')), write('team/b', 0, team('b', 9))])]
    projection.apply(batchOf(log, 1), 0)
    expect(projection.read('team/a')).toBeUndefined()
    expect(projection.read('team/b')?.value).toEqual(team('b'))
  })

  test('a record appended twice takes effect once', () => {
    const { projection } = createProjectionFixture()
    const duplicateWrites = [write('team/a', 0, team('a'))]
    projection.apply(batchOf([entryOf(1, duplicateWrites, 'same'), entryOf(2, duplicateWrites, 'same')], 1), 0)
    expect(projection.read('team/a')?.version).toBe(1)
  })

  test('a removed team keeps its version, a removed agent is forgotten', () => {
    const { projection } = createProjectionFixture()
    const log = [
      entryOf(1, [write('team/a', 0, team('a')), write(`agent/${AGENT}`, 0, agentRegistration(AGENT))]),
      entryOf(2, [write('team/a', 1, null), write(`agent/${AGENT}`, 1, null)]),
      entryOf(3, [write('team/a', 0, team('a', 5))])
    ]
    projection.apply(batchOf(log, 1), 0)
    expect(projection.read('team/a')).toEqual({ register: 'team/a', version: 2, value: null })
    expect(projection.read(`agent/${AGENT}`)).toBeUndefined()
    expect(projection.list('team')).toEqual([])
  })

  test('invalid records and changes are skipped and reported, and valid changes of the same record are applied', () => {
    const { projection, badRecords } = createProjectionFixture()
    const log: LogEntry[] = [
      { offset: 1, record: undefined },
      entryOf(2, [
        write('nonsense/a', 0, {}), write('team/a', 0, { name: 'a' }), write('team/b', 0, team('c')),
        write('partition/256', 0, { owner: AGENT }), write('team/', 0, null), write('team/d', 0, team('d'))
      ]),
      entryOf(3, [{ kind: 'restatement', register: 'team/d', version: 9, value: team('d'), asOf: 9 }])
    ]
    projection.apply(batchOf(log, 1), 0)
    expect(badRecords.map(record => record.offset)).toEqual([1, 2, 2, 2, 2, 2, 3])
    expect(projection.list('team').map(({ register }) => register)).toEqual(['team/d'])
    expect(projection.position()).toBe(3)
  })
})

describe('refresh records', () => {
  const refresh = { kind: 'restatement', register: 'team/a', version: 1, value: team('a'), asOf: 2 } as const
  const log = [
    entryOf(1, [write('team/a', 0, team('a'))]),
    entryOf(2, []),
    entryOf(3, [write('team/a', 1, team('a', 2))]),
    entryOf(4, [refresh]),
    entryOf(5, [write('team/a', 3, team('a', 3))])
  ]

  test('a refresh record appended after a later write changes nothing for a reader of the complete log', () => {
    const { projection, violations } = createProjectionFixture()
    projection.apply(batchOf(log, 1), 0)
    expect(projection.read('team/a')?.version).toBe(5)
    expect(violations).toEqual([])
  })

  test('a reader that starts in the middle of the log applies the writes after a refresh record to its value', () => {
    const { projection } = createProjectionFixture()
    const changes = projection.apply(batchOf(log, 1, 3), 0)
    expect(projection.read('team/a')).toEqual({ register: 'team/a', version: 5, value: team('a', 3) })
    expect(changes.map(change => change.version)).toEqual([1, 3, 5])
  })

  test('a refresh record with another value for a known version violates an invariant and changes nothing', () => {
    const { projection, violations } = createProjectionFixture()
    projection.apply(batchOf([log[0] as LogEntry, entryOf(2, [{ ...refresh, value: team('a', 9), asOf: 1 }])], 1), 0)
    expect(projection.read('team/a')?.value).toEqual(team('a'))
    expect(violations).toHaveLength(1)
  })

  test('a refresh record appended after the removal of an agent does not restore the agent', () => {
    const { projection, violations } = createProjectionFixture()
    const register = `agent/${AGENT}`
    const entries = [
      entryOf(1, [write(register, 0, agentRegistration(AGENT))]),
      entryOf(2, [write(register, 1, null)]),
      entryOf(3, [{ kind: 'restatement', register, version: 1, value: agentRegistration(AGENT), asOf: 1 }])
    ]
    projection.apply(batchOf(entries, 1), 0)
    expect(projection.read(register)).toBeUndefined()
    const late = createProjectionFixture()
    late.projection.apply(batchOf(entries, 1, 3), 0)
    expect(late.projection.read(register)).toBeUndefined()
    expect(violations).toEqual([])
  })

  test('are due a third of the retention after the latest one, and are not requested twice in a row', () => {
    const { projection } = createProjectionFixture()
    projection.apply(batchOf([entryOf(1, [write('team/a', 0, team('a'))])], 1), 1_000)
    expect(projection.refreshesDue(1_000 + RETENTION_MILLISECONDS / 3 - 1, 10)).toEqual([])
    const due = projection.refreshesDue(1_000 + RETENTION_MILLISECONDS / 3, 10)
    expect(due).toEqual([{ kind: 'restatement', register: 'team/a', version: 1, value: team('a'), asOf: 1 }])
    expect(projection.refreshesDue(1_001 + RETENTION_MILLISECONDS / 3, 10)).toEqual([])
    projection.apply(batchOf([entryOf(1, []), entryOf(2, due)], 2), 40_000)
    expect(projection.refreshesDue(60_000, 10)).toEqual([])
    expect(projection.refreshesDue(40_000 + RETENTION_MILLISECONDS / 3, 10)).toHaveLength(1)
  })
})

test('a register that is written often is refreshed too, so that a new reader finds a record to start from', () => {
  const { projection } = createProjectionFixture()
  const log: LogEntry[] = []
  for (let version = 0; version < 4; version += 1) {
    log.push(entryOf(version + 1, [write('team/a', version, team('a', version + 1))]))
    projection.apply(batchOf(log, projection.nextReadOffset()), version * RETENTION_MILLISECONDS / 10)
  }
  expect(projection.refreshesDue(RETENTION_MILLISECONDS / 3, 10).map(({ version }) => version)).toEqual([4])
})

test('the removal of an agent that was registered twice takes effect for a reader that missed the first registration', () => {
  const register = `agent/${AGENT}`
  const log = [
    entryOf(1, [write(register, 0, agentRegistration(AGENT))]),
    entryOf(2, [write(register, 0, agentRegistration(AGENT))]),
    entryOf(3, [write(register, 1, null)])
  ]
  for (const first of [1, 2, 3]) {
    const { projection } = createProjectionFixture()
    projection.apply(batchOf(log, 1, first), 0)
    expect(projection.read(register)).toBeUndefined()
  }
})

test('a process of a higher rank refreshes a register only if the processes before it did not', () => {
  const { projection } = createProjectionFixture()
  projection.apply(batchOf([entryOf(1, [write('team/a', 0, team('a'))])], 1), 0)
  const due = (share: number, rank: number): number =>
    projection.refreshesDue(RETENTION_MILLISECONDS * share, 10, rank).length
  expect([due(0.4, 1), due(0.45, 1), due(0.55, 9), due(0.6, 9)]).toEqual([0, 1, 0, 1])
})

describe('adopt', () => {
  const log = [
    entryOf(1, [write('team/a', 0, team('a')), write(`agent/${AGENT}`, 0, agentRegistration(AGENT))]),
    entryOf(2, [write('team/a', 1, team('a', 2))]),
    entryOf(3, [write(`agent/${AGENT}`, 1, null)])
  ]

  test('brings a new process to the state of the peer, and reading the log afterwards changes nothing', () => {
    const peer = createProjectionFixture()
    peer.projection.apply(batchOf(log, 1), 0)
    const { projection } = createProjectionFixture()
    projection.adopt(peer.projection.changesSince(0, 100))
    expect([projection.position(), projection.logPosition(), projection.nextReadOffset()]).toEqual([3, 0, 1])
    expect(projection.read('team/a')?.version).toBe(2)
    expect(projection.apply(batchOf(log, 1), 0)).toEqual([])
    expect(projection.logPosition()).toBe(3)
  })

  test('does not lower a version or restore a removed register if the peer is behind', () => {
    const behind = createProjectionFixture()
    behind.projection.apply(batchOf(log.slice(0, 1), 1), 0)
    const { projection } = createProjectionFixture()
    projection.apply(batchOf(log, 1), 0)
    expect(projection.adopt(behind.projection.changesSince(0, 100))).toEqual([])
    expect(projection.read('team/a')?.version).toBe(2)
    expect(projection.position()).toBe(3)
  })

  test('does not advance the position for a delta that was cut off at the limit', () => {
    const peer = createProjectionFixture()
    peer.projection.apply(batchOf(log, 1), 0)
    const delta = peer.projection.changesSince(0, 1)
    expect(delta.registers).toHaveLength(1)
    expect(delta.position).toBe(0)
    expect(peer.projection.changesSince(0, 100, 'team').registers.map(({ register }) => register)).toEqual(['team/a'])
  })
})
