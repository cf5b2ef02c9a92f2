import { describe, expect, it } from 'vitest'
import { silentLogger, type EventLogger } from '@baobabpost/common'
import { createRunRegistry } from '@baobabpost/runs'
import { heartbeat } from './registry-under-test.js'

const FIRST_TOKEN = 7

describe('the log lines on lease renewals without an answer', () => {
  it('come once a second at most, and count the orders', () => {
    const lines: Array<Record<string, unknown>> = []
    const log: EventLogger['info'] = (event, fields) => { lines.push({ event, ...fields }) }
    const registry = createRunRegistry({
      incarnation: 'agent-1',
      fencingToken: FIRST_TOKEN,
      logger: { ...silentLogger, info: log, warn: log },
      sendStart: () => {},
      sendStop: () => {},
      stopUnknownRun: () => {},
      listImmediately: () => {},
      wake: () => {}
    })
    const listing = { startedAt: 1_000, running: [], ended: [] }
    const list = (now: number, isAnswered: boolean): void => {
      const { fencingToken } = registry.nextListOrder(0, now)
      registry.handleListAnswer(isAnswered ? { outcome: 'taken', clock: now, listing } : { outcome: 'unanswered', clock: undefined }, fencingToken, now, now)
    }
    const rejectListing = (now: number): void => {
      const { fencingToken } = registry.nextListOrder(0, now)
      registry.handleListAnswer({ outcome: 'fenced', clock: now }, fencingToken, now, now)
    }
    registry.handleHeartbeat(heartbeat(), 10_000)
    list(10_000, true)
    for (let now = 10_100; now < 10_400; now += 100) list(now, false)
    rejectListing(10_400)
    list(10_500, true)
    const linesOf = (event: string): unknown[] => lines.filter(line => line.event === event)
    expect(linesOf('lease renewal got no answer')).toEqual([
      { event: 'lease renewal got no answer', orders: 1, open: 1, fence: 7 }
    ])
    expect(linesOf('lease renewals outdated')).toEqual([
      { event: 'lease renewals outdated', orders: 3, milliseconds: 400, fence: 1_007 }
    ])
  })
})
