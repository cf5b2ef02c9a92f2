import { describe, expect, it } from 'vitest'
import { createReadingTurns, orderForReading } from '../src/reading-turns.js'

/** Turns whose callbacks a test runs, with what they did. */
function createTurnsUnderTest (): {
  readonly turns: ReturnType<typeof createReadingTurns>
  readonly events: string[]
  readonly endTurn: () => void
  readonly delayed: Array<() => void>
} {
  const events: string[] = []
  let deferred: Array<() => void> = []
  const delayed: Array<() => void> = []
  const turns = createReadingTurns({
    defer: run => { deferred.push(run) },
    delay: run => { delayed.push(run) },
    stopAll: () => { events.push('stop') },
    resumeAll: () => { events.push('resume') }
  })
  const endTurn = (): void => {
    const runs = deferred
    deferred = []
    for (const run of runs) run()
  }
  return { turns, events, endTurn, delayed }
}

describe('the turns in which a server reads', () => {
  it('make a connection slow once it sends 512 chunks in one turn, not in several', () => {
    const { turns, endTurn } = createTurnsUnderTest()
    const turn = turns.begin(() => {})
    for (let index = 0; index < 511; index += 1) expect(turn.count()).toBe(false)
    endTurn()
    for (let index = 0; index < 511; index += 1) expect(turn.count()).toBe(false)
    expect(turn.count()).toBe(true)
    expect(turn.count()).toBe(false)
  })

  it('stop all reading for the rest of a turn with 4,096 chunks', () => {
    const { turns, events, endTurn } = createTurnsUnderTest()
    const first = turns.begin(() => {})
    const second = turns.begin(() => {})
    for (let index = 0; index < 2_048; index += 1) [first, second].forEach(turn => turn.count())
    expect(events).toEqual(['stop'])
    for (let index = 0; index < 10_000; index += 1) first.count()
    endTurn()
    expect(events).toEqual(['stop', 'resume'])
  })

  it('stop all reading for the rest of a turn with 512 requests', () => {
    const { turns, events } = createTurnsUnderTest()
    for (let index = 0; index < 511; index += 1) turns.countRequest()
    expect(events).toEqual([])
    for (let index = 0; index < 2_000; index += 1) turns.countRequest()
    expect(events).toEqual(['stop'])
  })

  it('accept what waits before they read on', () => {
    const { turns, events, endTurn } = createTurnsUnderTest()
    expect(turns.accept()).toBe(false)
    for (let index = 0; index < 512; index += 1) turns.countRequest()
    for (let index = 0; index < 3; index += 1) {
      expect(turns.accept()).toBe(true)
      endTurn()
      expect(events).toEqual(['stop'])
    }
    endTurn()
    expect(events).toEqual(['stop', 'resume'])
    expect(turns.accept()).toBe(false)
  })

  it('read slow connections one after the other', () => {
    const { turns, events, delayed } = createTurnsUnderTest()
    for (const name of ['a', 'b', 'c']) {
      const turn = turns.begin(() => { events.push(name) })
      for (let index = 0; index < 600; index += 1) turn.count()
    }
    while (delayed.length > 0) {
      events.push('interval')
      delayed.shift()?.()
    }
    expect(events).toEqual(['interval', 'a', 'interval', 'b', 'interval', 'c'])
  })

  // Closed connections waited until it was their turn, with all that was read from them.
  it('forget a connection that leaves while it waits', () => {
    const { turns, events, delayed } = createTurnsUnderTest()
    const waiting = ['a', 'b'].map(name => turns.begin(() => { events.push(name) }))
    for (const turn of waiting) for (let index = 0; index < 600; index += 1) turn.count()
    waiting[0]?.leave()
    delayed.shift()?.()
    expect(events).toEqual(['b'])
    expect(turns.hasSlow()).toBe(false)
  })

  it('go on with the connections that were served before, then with the newest', () => {
    const connections = [false, true, false, true].map((served, number) => ({ number, wasServed: () => served }))
    expect(orderForReading(connections).map(({ number }) => number)).toEqual([1, 3, 2, 0])
  })
})
