import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import { CONNECTION_BYTES, createClientAccount, type ClientAccount, type Closing, type ConnectionState } from '../src/client-account.js'
import { clientLimitsOf, limitsOfServer } from '../src/client-budget.js'

const SEED = 20261207
const BODY_BYTES = 10_000
/** Room for five connections and three bodies. */
const LIMITS = { connections: 5, bytes: 5 * CONNECTION_BYTES + 3 * BODY_BYTES }

function open (account: ClientAccount<string>, names: readonly string[], state: ConnectionState, now: number): void {
  for (const name of names) {
    expect(account.open(name, now)).toEqual([])
    account.change(name, state, now)
  }
}

const names = (closings: ReadonlyArray<Closing<string>>): string[] => closings.map(({ connection, action }) => `${action} ${connection}`)

describe('a new connection at a full server', () => {
  it.each<[ConnectionState, number, string]>([
    ['closing', 0, 'close b'], ['unread', 1_000, 'close b'], ['reading', 1_000, 'close b'], ['new', 0, 'close b'],
    ['idle', 0, 'close b'], ['reading', 0, 'close b'], ['unread', 0, 'close b']
  ])('takes the place of the oldest that is %s for %i ms, and of none at work', (state, age, expected) => {
    const account = createClientAccount<string>(LIMITS)
    open(account, ['a'], 'working', 0)
    open(account, ['b', 'c'], state, 10)
    open(account, ['d', 'e'], 'working', 10)
    expect(names(account.open('f', 10 + age))).toEqual([expected])
    expect(account.connectionCount()).toBe(5)
  })

  it('takes the place of an idle one before that of a request which may yet end', () => {
    const account = createClientAccount<string>(LIMITS)
    open(account, ['a', 'b'], 'reading', 0)
    open(account, ['c', 'd', 'e'], 'idle', 0)
    expect(names(account.open('f', 999))).toEqual(['close c'])
    expect(names(account.open('g', 1_000))).toEqual(['close a'])
  })

  it('is closed itself if all others are at work', () => {
    const account = createClientAccount<string>(LIMITS)
    open(account, ['a', 'b', 'c', 'd', 'e'], 'working', 0)
    expect(names(account.open('f', 9_000))).toEqual(['close f'])
  })
})

describe('a body that finds no room', () => {
  it('has those refused that have been open longest without their end', () => {
    const account = createClientAccount<string>(LIMITS)
    open(account, ['a', 'b', 'c', 'd'], 'reading', 0)
    for (const name of ['b', 'a', 'c']) expect(account.hold(name, BODY_BYTES, 1)).toEqual([])
    account.change('a', 'working', 1)
    account.change('a', 'reading', 2)
    expect(account.hold('d', 2 * BODY_BYTES, 3)).toMatchObject([
      { connection: 'b', action: 'refuse', reason: 'bytes', heldBytes: BODY_BYTES }
    ])
  })

  it('is refused itself if the others have ended and wait to be handled', () => {
    const account = createClientAccount<string>(LIMITS)
    open(account, ['a', 'b', 'c', 'd', 'e'], 'working', 0)
    account.change('e', 'reading', 0)
    for (const name of ['a', 'b', 'c']) account.hold(name, BODY_BYTES, 0)
    expect(names(account.hold('e', BODY_BYTES, 0))).toEqual(['refuse e'])
    expect(names(account.hold('d', BODY_BYTES, 0))).toEqual(['close e'])
  })
})

describe('a refused request behind one that is handled', () => {
  it('gives back its own bytes only, and leaves the connection at work', () => {
    const account = createClientAccount<string>(LIMITS)
    open(account, ['a', 'b'], 'working', 0)
    expect(account.reserve('a', 4_000, 0).isReserved).toBe(true)
    account.change('a', 'overlapping', 0)
    account.hold('a', 2 * BODY_BYTES, 0)
    const before = account.bytes()
    expect(names(account.hold('b', 7 * BODY_BYTES, 0))).toEqual(['refuse a'])
    expect(account.bytes()).toBe(before + 5 * BODY_BYTES)
    account.release('b', 7 * BODY_BYTES)
    open(account, ['c', 'd', 'e'], 'working', 0)
    expect(names(account.open('f', 5_000))).toEqual(['close f'])
  })
})

describe('bytes that are received and not parsed', () => {
  // The refusal of a request took their charge back while its connection still kept them.
  it('stay charged when the request is refused, until the connection goes', () => {
    const account = createClientAccount<string>(LIMITS)
    open(account, ['a', 'b'], 'reading', 0)
    account.hold('a', BODY_BYTES, 0)
    expect(account.setUnparsed('a', 2 * BODY_BYTES, 0)).toEqual([])
    const before = account.bytes()
    expect(names(account.hold('b', 5 * BODY_BYTES, 0))).toEqual(['refuse a'])
    expect(account.bytes()).toBe(before + 4 * BODY_BYTES)
    account.leave('a')
    expect(account.bytes()).toBe(CONNECTION_BYTES + 5 * BODY_BYTES)
  })

  it('are charged for a connection that is refused already, which is closed for them', () => {
    const account = createClientAccount<string>(LIMITS)
    open(account, ['a', 'b'], 'closing', 0)
    expect(names(account.setUnparsed('a', 9 * BODY_BYTES, 0))).toEqual(['close b'])
    expect(names(account.setUnparsed('a', 11 * BODY_BYTES, 0))).toEqual(['close a'])
    expect(account.bytes()).toBe(0)
  })
})

describe('a reservation', () => {
  it('takes an eighth of the free bytes at most, so that a small one finds room beside large ones', () => {
    const account = createClientAccount<string>({ connections: 40, bytes: 40 * CONNECTION_BYTES })
    let reserved = 0
    for (let index = 0; index < 20; index += 1) {
      const name = `large-${index}`
      open(account, [name], 'working', 0)
      if (account.reserve(name, 20_000, 0).isReserved) reserved += 1
    }
    expect(reserved).toBeGreaterThan(5)
    expect(reserved).toBeLessThan(20)
    open(account, ['small'], 'working', 0)
    expect(account.reserve('small', 2_000, 0)).toEqual({ isReserved: true, closings: [] })
  })

  it('has unfinished requests refused, the oldest first, and none if that is not enough', () => {
    const account = createClientAccount<string>(LIMITS)
    open(account, ['a', 'b', 'c'], 'reading', 0)
    open(account, ['d'], 'working', 0)
    for (const name of ['a', 'b', 'c']) account.hold(name, BODY_BYTES, 0)
    expect(account.reserve('d', BODY_BYTES, 0)).toEqual({ isReserved: false, closings: [] })
    expect(names(account.reserve('d', 4_000, 0).closings)).toEqual(['refuse a', 'refuse b'])
  })
})

describe('any order of connections, chunks, ends and departures', () => {
  const step = fc.oneof(
    fc.record({ kind: fc.constant('open' as const), name: fc.nat(11) }),
    fc.record({
      kind: fc.constant('change' as const),
      name: fc.nat(11),
      state: fc.constantFrom<ConnectionState>('reading', 'working', 'overlapping', 'unread', 'idle')
    }),
    fc.record({ kind: fc.constant('hold' as const), name: fc.nat(11), bytes: fc.integer({ min: 1, max: 60_000 }) }),
    fc.record({ kind: fc.constant('unparsed' as const), name: fc.nat(11), bytes: fc.nat(130_000) }),
    fc.record({ kind: fc.constant('reserve' as const), name: fc.nat(11), bytes: fc.integer({ min: 1, max: 20_000 }) }),
    fc.record({ kind: fc.constant('release' as const), name: fc.nat(11), bytes: fc.nat(60_000) }),
    fc.record({ kind: fc.constant('leave' as const), name: fc.nat(11) })
  )

  it('keeps to the limits, closes none at work for another, and is empty when all have left', () => {
    fc.assert(fc.property(fc.array(fc.tuple(step, fc.nat(700)), { maxLength: 120 }), steps => {
      const account = createClientAccount<number>(LIMITS)
      const states = new Map<number, ConnectionState>()
      let now = 0
      for (const [{ kind, name, ...rest }, milliseconds] of steps) {
        now += milliseconds
        let closings: ReadonlyArray<Closing<number>> = []
        if (kind === 'open' && !states.has(name)) {
          states.set(name, 'new')
          closings = account.open(name, now)
        }
        if (kind === 'change' && 'state' in rest) {
          account.change(name, rest.state, now)
          if (states.has(name) && states.get(name) !== 'closing') states.set(name, rest.state)
        }
        if (kind === 'hold' && 'bytes' in rest) closings = account.hold(name, rest.bytes, now)
        if (kind === 'unparsed' && 'bytes' in rest) closings = account.setUnparsed(name, rest.bytes, now)
        if (kind === 'reserve' && 'bytes' in rest) closings = account.reserve(name, rest.bytes, now).closings
        if (kind === 'release' && 'bytes' in rest) account.release(name, rest.bytes)
        if (kind === 'leave') {
          account.leave(name)
          states.delete(name)
        }
        for (const { connection, action } of closings) {
          const state = states.get(connection)
          if (connection !== name && action === 'close') expect(['working', 'overlapping']).not.toContain(state)
          if (action === 'refuse') expect(['reading', 'overlapping']).toContain(state)
          if (action === 'close') states.delete(connection)
          else states.set(connection, state === 'overlapping' ? 'working' : 'closing')
        }
        expect(account.connectionCount()).toBe(states.size)
        expect(account.connectionCount()).toBeLessThanOrEqual(LIMITS.connections)
        expect(account.bytes()).toBeLessThanOrEqual(LIMITS.bytes)
        expect(account.bytes()).toBeGreaterThanOrEqual(states.size * CONNECTION_BYTES)
      }
      for (const name of states.keys()) account.leave(name)
      expect([account.connectionCount(), account.bytes()]).toEqual([0, 0])
    }), { seed: SEED, numRuns: 2_000 })
  })
})

describe('the parts of a budget', () => {
  it('are within the memory and descriptors of the process together', () => {
    fc.assert(fc.property(
      fc.integer({ min: 64, max: 4_096 }), fc.integer({ min: 512, max: 65_536 }), fc.integer({ min: 10, max: 90 }),
      (memoryMegabytes, descriptors, percent) => {
        const limits = clientLimitsOf({ memoryMegabytes, descriptors })
        const parts = [percent / 100, 1 - percent / 100].map(share => limitsOfServer(limits, share))
        const connections = parts.reduce((sum, part) => sum + part.connections, 0)
        expect(connections).toBeLessThanOrEqual(descriptors - 200)
        expect(parts.reduce((sum, part) => sum + part.bytes, 0)).toBeLessThanOrEqual(memoryMegabytes * 1_048_576 / 4)
        for (const part of parts) expect(part.connections * CONNECTION_BYTES).toBeLessThan(part.bytes)
      }
    ), { seed: SEED, numRuns: 1_000 })
  })
})
