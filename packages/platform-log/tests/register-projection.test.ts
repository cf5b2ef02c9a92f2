import { describe, expect, test } from 'vitest'
import type { LogEntry } from '@baobabpost/messages'
import { agentRegistration, batchOf, createFoldFixture, entryOf, RETENTION_MILLISECONDS, team } from './log-fixture.js'

const AGENT = 'agent-1@01930000-0000-7000-8000-000000000001'

function write (register: string, replaces: number, value: unknown): { kind: 'write', register: string, replaces: number, value: unknown } {
  return { kind: 'write', register, replaces, value }
}

describe('writes', () => {
  test('a write holds only if it names the version in force, and racing writers get one winner', () => {
    const { fold, outcomes } = createFoldFixture()
    const log = [
      entryOf(1, [write('team/medina', 0, team('medina', 1))], 'first'),
      entryOf(2, [write('team/medina', 1, team('medina', 2))], 'winner'),
      entryOf(3, [write('team/medina', 1, team('medina', 3))], 'loser')
    ]
    const changes = fold.apply(batchOf(log, 1), 0)
    expect(changes.map(change => [change.previousVersion, change.version])).toEqual([[0, 1], [1, 2]])
    expect(fold.read('team/medina')).toEqual({ register: 'team/medina', version: 2, value: team('medina', 2) })
    expect(outcomes.map(outcome => [outcome.nonce, outcome.isApplied, outcome.version]))
      .toEqual([['first', true, 1], ['winner', true, 2], ['loser', false, 2]])
  })

  test('several writes of a record are judged each on its own', () => {
    const { fold } = createFoldFixture()
    const log = [entryOf(1, [write('team/a', 7, team('a')), write('team/b', 0, team('b')), write('team/b', 0, team('b', 9))])]
    fold.apply(batchOf(log, 1), 0)
    expect(fold.read('team/a')).toBeUndefined()
    expect(fold.read('team/b')?.value).toEqual(team('b'))
  })

  test('a record appended twice takes effect once', () => {
    const { fold } = createFoldFixture()
    const again = [write('team/a', 0, team('a'))]
    fold.apply(batchOf([entryOf(1, again, 'same'), entryOf(2, again, 'same')], 1), 0)
    expect(fold.read('team/a')?.version).toBe(1)
  })

  test('a removed template keeps its version, a removed agent is forgotten', () => {
    const { fold } = createFoldFixture()
    const log = [
      entryOf(1, [write('team/a', 0, team('a')), write(`agent/${AGENT}`, 0, agentRegistration(AGENT))]),
      entryOf(2, [write('team/a', 1, null), write(`agent/${AGENT}`, 1, null)]),
      entryOf(3, [write('team/a', 0, team('a', 5))])
    ]
    fold.apply(batchOf(log, 1), 0)
    expect(fold.read('team/a')).toEqual({ register: 'team/a', version: 2, value: null })
    expect(fold.read(`agent/${AGENT}`)).toBeUndefined()
    expect(fold.list('team')).toEqual([])
  })

  test('bad records are skipped and told, and what stands beside them counts', () => {
    const { fold, bad } = createFoldFixture()
    const log: LogEntry[] = [
      { offset: 1, record: undefined },
      entryOf(2, [
        write('nonsense/a', 0, {}), write('team/a', 0, { name: 'a' }), write('team/b', 0, team('c')),
        write('partition/256', 0, { owner: AGENT }), write('team/', 0, null), write('team/d', 0, team('d'))
      ]),
      entryOf(3, [{ kind: 'restatement', register: 'team/d', version: 9, value: team('d'), asOf: 9 }])
    ]
    fold.apply(batchOf(log, 1), 0)
    expect(bad.map(record => record.offset)).toEqual([1, 2, 2, 2, 2, 2, 3])
    expect(fold.list('team').map(({ register }) => register)).toEqual(['team/d'])
    expect(fold.position()).toBe(3)
  })
})

describe('restatements', () => {
  const restated = { kind: 'restatement', register: 'team/a', version: 1, value: team('a'), asOf: 2 } as const
  const log = [
    entryOf(1, [write('team/a', 0, team('a'))]),
    entryOf(2, []),
    entryOf(3, [write('team/a', 1, team('a', 2))]),
    entryOf(4, [restated]),
    entryOf(5, [write('team/a', 3, team('a', 3))])
  ]

  test('one that was overtaken changes nothing for a reader of the whole log', () => {
    const { fold, violations } = createFoldFixture()
    fold.apply(batchOf(log, 1), 0)
    expect(fold.read('team/a')?.version).toBe(5)
    expect(violations).toEqual([])
  })

  test('a reader from the middle takes it as the base of the writes after it', () => {
    const { fold } = createFoldFixture()
    const changes = fold.apply(batchOf(log, 1, 3), 0)
    expect(fold.read('team/a')).toEqual({ register: 'team/a', version: 5, value: team('a', 3) })
    expect(changes.map(change => change.version)).toEqual([1, 3, 5])
  })

  test('one with another value for a known version is a violation and changes nothing', () => {
    const { fold, violations } = createFoldFixture()
    fold.apply(batchOf([log[0] as LogEntry, entryOf(2, [{ ...restated, value: team('a', 9), asOf: 1 }])], 1), 0)
    expect(fold.read('team/a')?.value).toEqual(team('a'))
    expect(violations).toHaveLength(1)
  })

  test('a late one does not bring back an agent that was removed', () => {
    const { fold, violations } = createFoldFixture()
    const register = `agent/${AGENT}`
    const entries = [
      entryOf(1, [write(register, 0, agentRegistration(AGENT))]),
      entryOf(2, [write(register, 1, null)]),
      entryOf(3, [{ kind: 'restatement', register, version: 1, value: agentRegistration(AGENT), asOf: 1 }])
    ]
    fold.apply(batchOf(entries, 1), 0)
    expect(fold.read(register)).toBeUndefined()
    const late = createFoldFixture()
    late.fold.apply(batchOf(entries, 1, 3), 0)
    expect(late.fold.read(register)).toBeUndefined()
    expect(violations).toEqual([])
  })

  test('are due after a third of the retention, once for each patience, and are known by the age of the record', () => {
    const { fold } = createFoldFixture()
    fold.apply(batchOf([entryOf(1, [write('team/a', 0, team('a'))])], 1), 1_000)
    expect(fold.refreshesDue(1_000 + RETENTION_MILLISECONDS / 3 - 1, 10)).toEqual([])
    const due = fold.refreshesDue(1_000 + RETENTION_MILLISECONDS / 3, 10)
    expect(due).toEqual([{ kind: 'restatement', register: 'team/a', version: 1, value: team('a'), asOf: 1 }])
    expect(fold.refreshesDue(1_001 + RETENTION_MILLISECONDS / 3, 10)).toEqual([])
    fold.apply(batchOf([entryOf(1, []), entryOf(2, due)], 2), 40_000)
    expect(fold.refreshesDue(60_000, 10)).toEqual([])
    expect(fold.refreshesDue(40_000 + RETENTION_MILLISECONDS / 3, 10)).toHaveLength(1)
  })
})

test('a register that is written often is restated all the same, so that a new reader finds a base', () => {
  const { fold } = createFoldFixture()
  const log: LogEntry[] = []
  for (let version = 0; version < 4; version += 1) {
    log.push(entryOf(version + 1, [write('team/a', version, team('a', version + 1))]))
    fold.apply(batchOf(log, fold.nextReadOffset()), version * RETENTION_MILLISECONDS / 10)
  }
  expect(fold.refreshesDue(RETENTION_MILLISECONDS / 3, 10).map(({ version }) => version)).toEqual([4])
})

test('an agent that was registered twice and removed is gone for a reader that missed the first registration', () => {
  const register = `agent/${AGENT}`
  const log = [
    entryOf(1, [write(register, 0, agentRegistration(AGENT))]),
    entryOf(2, [write(register, 0, agentRegistration(AGENT))]),
    entryOf(3, [write(register, 1, null)])
  ]
  for (const first of [1, 2, 3]) {
    const { fold } = createFoldFixture()
    fold.apply(batchOf(log, 1, first), 0)
    expect(fold.read(register)).toBeUndefined()
  }
})

test('a process of a later rank restates only what those before it left', () => {
  const { fold } = createFoldFixture()
  fold.apply(batchOf([entryOf(1, [write('team/a', 0, team('a'))])], 1), 0)
  const due = (share: number, rank: number): number =>
    fold.refreshesDue(RETENTION_MILLISECONDS * share, 10, rank).length
  expect([due(0.4, 1), due(0.45, 1), due(0.55, 9), due(0.6, 9)]).toEqual([0, 1, 0, 1])
})

describe('adoption from a peer', () => {
  const log = [
    entryOf(1, [write('team/a', 0, team('a')), write(`agent/${AGENT}`, 0, agentRegistration(AGENT))]),
    entryOf(2, [write('team/a', 1, team('a', 2))]),
    entryOf(3, [write(`agent/${AGENT}`, 1, null)])
  ]

  test('brings a new process to what the peer knows, and reading the log then changes nothing', () => {
    const peer = createFoldFixture()
    peer.fold.apply(batchOf(log, 1), 0)
    const { fold } = createFoldFixture()
    fold.adopt(peer.fold.changesSince(0, 100))
    expect([fold.position(), fold.logPosition(), fold.nextReadOffset()]).toEqual([3, 0, 1])
    expect(fold.read('team/a')?.version).toBe(2)
    expect(fold.apply(batchOf(log, 1), 0)).toEqual([])
    expect(fold.logPosition()).toBe(3)
  })

  test('never reverts: a peer that is behind lowers nothing and brings back nothing', () => {
    const behind = createFoldFixture()
    behind.fold.apply(batchOf(log.slice(0, 1), 1), 0)
    const { fold } = createFoldFixture()
    fold.apply(batchOf(log, 1), 0)
    expect(fold.adopt(behind.fold.changesSince(0, 100))).toEqual([])
    expect(fold.read('team/a')?.version).toBe(2)
    expect(fold.position()).toBe(3)
  })

  test('of a cut delta does not claim to know more than before', () => {
    const peer = createFoldFixture()
    peer.fold.apply(batchOf(log, 1), 0)
    const delta = peer.fold.changesSince(0, 1)
    expect(delta.registers).toHaveLength(1)
    expect(delta.position).toBe(0)
    expect(peer.fold.changesSince(0, 100, 'team').registers.map(({ register }) => register)).toEqual(['team/a'])
  })
})
