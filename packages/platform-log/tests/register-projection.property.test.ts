import { expect, test } from 'vitest'
import fc from 'fast-check'
import { REGISTER_SCHEMAS, type LogEntry, type LogRecord, type RegisterKind } from '@baobabpost/messages'
import { createNonce, type RegisterProjection } from '@baobabpost/platform-log'
import { agentRegistration, batchOf, createFoldFixture, RETENTION_MILLISECONDS, team, type FoldFixture } from './log-fixture.js'

const AGENTS = [1, 2, 3].map(number => `agent-${number}@01930000-0000-7000-8000-00000000000${number}`)
const REGISTERS = ['team/a', 'team/b', 'team/c', ...AGENTS.map(identity => `agent/${identity}`)]
const START = 1_700_000_000_000

interface Step {
  readonly register: string
  readonly remove: boolean
  /** How far the author of the write is behind the end of the log. */
  readonly behind: number
  /** Names a version that was never in force. */
  readonly wrong: boolean
  readonly pause: number
  /** Batch of the reader that lags. */
  readonly limit: number
  /** Restatements reach the log only after this step's write. */
  readonly delayed: boolean
  /** A new reader starts at this step. */
  readonly joins: boolean
}

const step: fc.Arbitrary<Step> = fc.record({
  register: fc.constantFrom(...REGISTERS),
  remove: fc.boolean(),
  behind: fc.nat(3),
  wrong: fc.boolean(),
  pause: fc.integer({ min: 0, max: 20_000 }),
  limit: fc.integer({ min: 1, max: 4 }),
  delayed: fc.boolean(),
  joins: fc.boolean()
})

function stateOf (fold: RegisterProjection): unknown {
  const kinds = Object.keys(REGISTER_SCHEMAS) as RegisterKind[]
  return {
    registers: REGISTERS.map(register => fold.read(register)),
    lists: kinds.map(kind => [...fold.list(kind)].sort((left, right) => left.register < right.register ? -1 : 1))
  }
}

function valueOf (register: string, random: number): unknown {
  const [kind, name] = register.split('/') as [string, string]
  return kind === 'team' ? team(name, random + 1) : agentRegistration(name, random % 2 === 0 ? 'joined' : 'departed')
}

/** Catches a reader up in batches, asking from its own position as the client does. */
function catchUp (fixture: FoldFixture, log: readonly LogEntry[], first: number, limit: number, now: number): void {
  for (let read = 0; read <= log.length; read += 1) {
    const batch = batchOf(log, fixture.fold.nextReadOffset(), first, limit)
    const before = new Map(REGISTERS.map(register => [register, fixture.fold.read(register)?.version ?? 0]))
    for (const change of fixture.fold.apply(batch, now)) {
      expect(change.version).toBeGreaterThan(change.previousVersion)
      expect(change.previousVersion).toBe(before.get(change.register))
      const forgotten = change.value === null && change.register.startsWith('agent/')
      before.set(change.register, forgotten ? 0 : change.version)
    }
    if (batch.hasReachedEnd) return
  }
  throw new Error('the reader never reached the end')
}

test('a reader that starts at any retained offset comes to the state of one that read everything', () => {
  fc.assert(fc.property(fc.array(step, { minLength: 15, maxLength: 40 }), steps => {
    const log: LogEntry[] = []
    const times: number[] = []
    const whole = createFoldFixture()
    /** Writers that are behind the log by as many records as their place says. */
    const authors = [0, 1, 2, 3].map(createFoldFixture)
    const readers: FoldFixture[] = []
    let now = START

    function append (changes: LogRecord['changes']): void {
      log.push({ offset: log.length + 1, record: { author: 'test', nonce: createNonce(now), changes } })
      times.push(now)
    }

    for (const [index, { register, remove, behind, wrong, pause, limit, delayed, joins }] of steps.entries()) {
      now += pause
      const kept = times.findIndex(time => time >= now - RETENTION_MILLISECONDS)
      const first = kept === -1 ? log.length + 1 : kept + 1
      const author = authors[behind] as FoldFixture
      const seen = log.slice(0, Math.max(log.length - behind, 0))
      author.fold.apply(batchOf(seen, author.fold.nextReadOffset()), now)
      const version = wrong ? 1_000_000 : author.fold.read(register)?.version ?? 0
      catchUp(whole, log, 1, Infinity, now)
      const due = whole.fold.refreshesDue(now, 100)
      if (due.length > 0 && !delayed) append(due)
      append([{ kind: 'write', register, replaces: version, value: remove ? null : valueOf(register, index) }])
      if (due.length > 0 && delayed) append(due)
      catchUp(whole, log, 1, Infinity, now)
      if (joins) readers.push(createFoldFixture())
      for (const reader of readers) {
        catchUp(reader, log, first, limit, now)
        expect(stateOf(reader.fold)).toEqual(stateOf(whole.fold))
        expect(reader.fold.position()).toBe(whole.fold.position())
      }
    }
    for (const reader of [whole, ...readers]) expect(reader.violations).toEqual([])
  }), { numRuns: 200, endOnFailure: true })
})

test('adopting from any peer at any time never lowers a version, and reading on settles every process alike', () => {
  fc.assert(fc.property(
    fc.array(step, { minLength: 2, maxLength: 40 }), fc.nat(40), fc.nat(40),
    (steps, peerAt, readAt) => {
      const log: LogEntry[] = []
      const author = createFoldFixture()
      for (const [index, { register, remove, wrong }] of steps.entries()) {
        const replaces = wrong ? 1_000_000 : author.fold.read(register)?.version ?? 0
        const value = remove ? null : valueOf(register, index)
        log.push({
          offset: index + 1,
          record: { author: 'test', nonce: createNonce(START), changes: [{ kind: 'write', register, replaces, value }] }
        })
        author.fold.apply(batchOf(log, 1), START)
      }
      const peer = createFoldFixture()
      peer.fold.apply(batchOf(log.slice(0, peerAt), 1), START)
      const reader = createFoldFixture()
      reader.fold.apply(batchOf(log.slice(0, readAt), 1), START)
      const changes = reader.fold.adopt(peer.fold.changesSince(reader.fold.position(), 1_000))
      for (const change of changes) expect(change.version).toBeGreaterThan(change.previousVersion)
      reader.fold.apply(batchOf(log, reader.fold.nextReadOffset()), START)
      expect(stateOf(reader.fold)).toEqual(stateOf(author.fold))
      expect([...reader.violations, ...author.violations]).toEqual([])
    }
  ), { numRuns: 500 })
})
