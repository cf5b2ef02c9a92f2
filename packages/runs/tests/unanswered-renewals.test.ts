import { beforeEach, describe, expect, it } from 'vitest'
import { silentLogger, type EventLogger } from '@baobabpost/common'
import { createRunRegistry } from '@baobabpost/runs'
import { createRegistryUnderTest, heartbeat, TASK, type RegistryUnderTest } from './registry-under-test.js'

/** Token of the agent under test. */
const FIRST_TOKEN = 7
const OTHER_TASK = '5c0e7a21d94b36f8.0.0.1'

let agent: RegistryUnderTest

beforeEach(() => {
  agent = createRegistryUnderTest()
  agent.registry.handleHeartbeat(heartbeat(), agent.advance(1))
  agent.list()
})

function nextToken (): number {
  return agent.registry.nextListOrder(0, agent.advance(0)).fencingToken
}

describe('the fencing token', () => {
  // A late order renewed the lease of runs that had moved to another upstream when it was to have ended.
  it.each([
    ['a list order', () => { agent.loseListing() }],
    ['a start order', () => { agent.order(1); agent.answerLastStart('unanswered') }]
  ])('is raised by one after %s without an answer', (_, lose) => {
    lose()
    expect(nextToken()).toBe(FIRST_TOKEN + 1)
  })

  it('is raised once for orders that were under way at the same time', () => {
    agent.order(1)
    agent.order(1, OTHER_TASK)
    for (const { record, order } of agent.starts) {
      agent.registry.handleStartAnswer(record, { outcome: 'unanswered', clock: undefined }, order.fencingToken, agent.advance(1))
    }
    expect(nextToken()).toBe(FIRST_TOKEN + 1)
  })

  it('is not raised by orders that are answered, whatever the answer', () => {
    for (const outcome of ['unreachable', 'unhealthy', 'other-life'] as const) {
      agent.order(1)
      agent.answerLastStart(outcome)
      agent.list()
    }
    expect(nextToken()).toBe(FIRST_TOKEN)
  })

  it('is raised four times, as often as the lease is renewed, by an upstream that never answers', () => {
    for (let lost = 0; lost < 1_000; lost += 1) agent.loseListing()
    // The agent takes control anew when the lease has ended, which raises it by one.
    expect(nextToken()).toBe(FIRST_TOKEN + 5)
  })

  it('is told to entries only each hundredth time that it is raised by one', () => {
    agent.registry.tick(agent.advance(40))
    const wakeCount = agent.wakes.count
    for (let lost = 0; lost < 150; lost += 1) {
      agent.loseListing()
      agent.list()
      agent.registry.tick(agent.advance(1))
      expect(agent.watch().profile?.fence).toBeGreaterThanOrEqual(nextToken())
    }
    expect(agent.wakes.count - wakeCount).toBe(2)
  })
})

describe('a start order that is rejected as fenced', () => {
  it('costs no attempt if a later order of its agent has overtaken it', () => {
    agent.order(1)
    for (let overtaken = 0; overtaken < 10; overtaken += 1) {
      agent.loseListing()
      agent.watch()
      agent.answerLastStart('fenced')
      agent.list()
    }
    expect(agent.starts).toHaveLength(11)
    agent.answerLastStart('taken')
    expect(agent.starts.map(({ order: { run } }) => run)).toEqual(Array.from({ length: 11 }, () => 1))
    expect(agent.watch().reports).toEqual([])
    agent.list({ running: [{ task: TASK, run: 1, percent: 10 }] })
    expect(agent.watch().reports).toEqual([])
  })

  it('costs one if the upstream rejects every token, also those of orders that were under way together', () => {
    agent.order(1)
    agent.order(1, OTHER_TASK)
    for (let answered = 0; answered < agent.starts.length && answered < 100; answered += 1) {
      const { record, order } = agent.starts[answered] ?? { record: undefined, order: undefined }
      if (record === undefined) break
      agent.registry.handleStartAnswer(record, { outcome: 'fenced', clock: undefined }, order.fencingToken, agent.advance(1))
    }
    expect(agent.starts).toHaveLength(14)
    expect(agent.watch().reports).toMatchObject([{ outcome: 'not-started', reason: 'fenced' }, { outcome: 'not-started', reason: 'fenced' }])
  })
})

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
    registry.handleHeartbeat(heartbeat(), 10_000)
    list(10_000, true)
    for (let now = 10_100; now < 13_100; now += 100) list(now, now % 200 === 0)
    const linesOf = (event: string): unknown[] => lines.filter(line => line.event === event)
    expect(linesOf('lease renewal got no answer')).toEqual([
      { event: 'lease renewal got no answer', orders: 1, open: 1, fence: 8 },
      { event: 'lease renewal got no answer', orders: 5, open: 1, fence: 13 },
      { event: 'lease renewal got no answer', orders: 5, open: 1, fence: 18 }
    ])
    expect(linesOf('lease renewals outdated')).toEqual([
      { event: 'lease renewals outdated', orders: 1, milliseconds: 100, fence: 8 },
      { event: 'lease renewals outdated', orders: 5, milliseconds: 100, fence: 13 },
      { event: 'lease renewals outdated', orders: 5, milliseconds: 100, fence: 18 }
    ])
  })
})
