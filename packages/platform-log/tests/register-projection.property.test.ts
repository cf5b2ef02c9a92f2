import { expect, test } from 'vitest'
import fc from 'fast-check'
import { REGISTER_SCHEMAS, type LogEntry, type LogRecord, type RegisterKind } from '@baobabpost/messages'
import { createNonce, type RegisterProjection } from '@baobabpost/platform-log'
import { agentRegistration, batchOf, createProjectionFixture, RETENTION_MILLISECONDS, team, type ProjectionFixture } from './log-fixture.js'

const AGENTS = [1, 2, 3].map(number => `agent-${number}@01930000-0000-7000-8000-00000000000${number}`)
const REGISTERS = ['team/a', 'team/b', 'team/c', ...AGENTS.map(identity => `agent/${identity}`)]
const START = 1_700_000_000_000

interface Step {
  readonly register: string
  readonly isRemoval: boolean
  /** Number of records by which the author of the write is behind the end of the log. */
  readonly recordsBehind: number
  /** Whether the write replaces a version that the register never had. */
  readonly hasWrongVersion: boolean
  readonly pauseMilliseconds: number
  /** Maximum number of records in one batch of the late readers. */
  readonly batchLimit: number
  /** Whether due refresh records are appended after this step's write instead of before it. */
  readonly areRefreshesDelayed: boolean
  /** Whether a new reader starts at this step. */
  readonly hasNewReader: boolean
}

const step: fc.Arbitrary<Step> = fc.record({
  register: fc.constantFrom(...REGISTERS),
  isRemoval: fc.boolean(),
  recordsBehind: fc.nat(3),
  hasWrongVersion: fc.boolean(),
  pauseMilliseconds: fc.integer({ min: 0, max: 20_000 }),
  batchLimit: fc.integer({ min: 1, max: 4 }),
  areRefreshesDelayed: fc.boolean(),
  hasNewReader: fc.boolean()
})

function stateOf (projection: RegisterProjection): unknown {
  const kinds = Object.keys(REGISTER_SCHEMAS) as RegisterKind[]
  return {
    registers: REGISTERS.map(register => projection.read(register)),
    lists: kinds.map(kind => [...projection.list(kind)].sort((left, right) => left.register < right.register ? -1 : 1))
  }
}

function valueOf (register: string, random: number): unknown {
  const [kind, name] = register.split('/') as [string, string]
  return kind === 'team' ? team(name, random + 1) : agentRegistration(name, random % 2 === 0 ? 'joined' : 'departed')
}

/** Applies the log to a reader in batches up to its end, each from its next read offset, as the client does. */
function catchUp (
  fixture: ProjectionFixture, log: readonly LogEntry[], first: number, limit: number, now: number
): void {
  for (let read = 0; read <= log.length; read += 1) {
    const batch = batchOf(log, fixture.projection.nextReadOffset(), first, limit)
    const before = new Map(REGISTERS.map(register => [register, fixture.projection.read(register)?.version ?? 0]))
    for (const change of fixture.projection.apply(batch, now)) {
      expect(change.version).toBeGreaterThan(change.previousVersion)
      expect(change.previousVersion).toBe(before.get(change.register))
      const forgotten = change.value === null && change.register.startsWith('agent/')
      before.set(change.register, forgotten ? 0 : change.version)
    }
    if (batch.hasReachedEnd) return
  }
  throw new Error(`the reader did not reach the end of the log in ${log.length + 1} reads`)
}

test('a reader that starts at any retained offset reaches the same state as a reader of the complete log', () => {
  fc.assert(fc.property(fc.array(step, { minLength: 15, maxLength: 40 }), steps => {
    const log: LogEntry[] = []
    const times: number[] = []
    const completeReader = createProjectionFixture()
    /** Authors of writes; the author at index N is N records behind the end of the log. */
    const authors = [0, 1, 2, 3].map(createProjectionFixture)
    const readers: ProjectionFixture[] = []
    let now = START

    function append (changes: LogRecord['changes']): void {
      log.push({ offset: log.length + 1, record: { author: 'test', nonce: createNonce(now), changes } })
      times.push(now)
    }

    for (const [index, {
      register, isRemoval, recordsBehind, hasWrongVersion, pauseMilliseconds, batchLimit, areRefreshesDelayed,
      hasNewReader
    }] of steps.entries()) {
      now += pauseMilliseconds
      const firstKeptIndex = times.findIndex(time => time >= now - RETENTION_MILLISECONDS)
      const first = firstKeptIndex === -1 ? log.length + 1 : firstKeptIndex + 1
      const author = authors[recordsBehind] as ProjectionFixture
      const authorLog = log.slice(0, Math.max(log.length - recordsBehind, 0))
      author.projection.apply(batchOf(authorLog, author.projection.nextReadOffset()), now)
      const version = hasWrongVersion ? 1_000_000 : author.projection.read(register)?.version ?? 0
      catchUp(completeReader, log, 1, Infinity, now)
      const due = completeReader.projection.refreshesDue(now, 100)
      if (due.length > 0 && !areRefreshesDelayed) append(due)
      append([{ kind: 'write', register, replaces: version, value: isRemoval ? null : valueOf(register, index) }])
      if (due.length > 0 && areRefreshesDelayed) append(due)
      catchUp(completeReader, log, 1, Infinity, now)
      if (hasNewReader) readers.push(createProjectionFixture())
      for (const reader of readers) {
        catchUp(reader, log, first, batchLimit, now)
        expect(stateOf(reader.projection)).toEqual(stateOf(completeReader.projection))
        expect(reader.projection.position()).toBe(completeReader.projection.position())
      }
    }
    for (const reader of [completeReader, ...readers]) expect(reader.violations).toEqual([])
  }), { numRuns: 200, endOnFailure: true })
})

test('adopting a delta of a peer never lowers a version, and reading the log further leads to the same state everywhere', () => {
  fc.assert(fc.property(
    fc.array(step, { minLength: 2, maxLength: 40 }), fc.nat(40), fc.nat(40),
    (steps, peerRecordCount, readerRecordCount) => {
      const log: LogEntry[] = []
      const author = createProjectionFixture()
      for (const [index, { register, isRemoval, hasWrongVersion }] of steps.entries()) {
        const replaces = hasWrongVersion ? 1_000_000 : author.projection.read(register)?.version ?? 0
        const value = isRemoval ? null : valueOf(register, index)
        log.push({
          offset: index + 1,
          record: { author: 'test', nonce: createNonce(START), changes: [{ kind: 'write', register, replaces, value }] }
        })
        author.projection.apply(batchOf(log, 1), START)
      }
      const peer = createProjectionFixture()
      peer.projection.apply(batchOf(log.slice(0, peerRecordCount), 1), START)
      const reader = createProjectionFixture()
      reader.projection.apply(batchOf(log.slice(0, readerRecordCount), 1), START)
      const changes = reader.projection.adopt(peer.projection.changesSince(reader.projection.position(), 1_000))
      for (const change of changes) expect(change.version).toBeGreaterThan(change.previousVersion)
      reader.projection.apply(batchOf(log, reader.projection.nextReadOffset()), START)
      expect(stateOf(reader.projection)).toEqual(stateOf(author.projection))
      expect([...reader.violations, ...author.violations]).toEqual([])
    }
  ), { numRuns: 500 })
})
