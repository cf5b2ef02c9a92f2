import { beforeEach, describe, expect, it } from 'vitest'
import { RUN_LEASE_BOUND_MILLISECONDS } from '@baobabpost/fleet-calls'
import { createRegistryUnderTest, heartbeat, TASK, type RegistryUnderTest } from './registry-under-test.js'

const ODD_ROW = { task: '5c0e7a21d94b36f8.0.0.9', run: 3, percent: 0 }
const LISTING_MILLISECONDS = 90

let agent: RegistryUnderTest

beforeEach(() => {
  agent = createRegistryUnderTest()
  agent.registry.handleHeartbeat(heartbeat(), agent.advance(1))
})

/** Lists the same rows for `milliseconds`, while the entry watches. */
function listFor (milliseconds: number, listing: Parameters<RegistryUnderTest['list']>[0]): void {
  const until = agent.advance(0) + milliseconds
  while (agent.advance(0) < until) {
    agent.advance(LISTING_MILLISECONDS)
    agent.watch()
    agent.list(listing)
    agent.registry.tick(agent.advance(1))
  }
}

/** Whether orders extend the lease of the runs beyond now. */
function isLeaseExtended (): boolean {
  return (agent.nextLease() ?? 0) > agent.advance(0)
}

describe('a row of a listing that never goes away', () => {
  it('does not keep the run lease from being renewed for good', () => {
    agent.list()
    listFor(RUN_LEASE_BOUND_MILLISECONDS - LISTING_MILLISECONDS, { running: [ODD_ROW] })
    const granted = agent.nextLease()
    listFor(2 * LISTING_MILLISECONDS, { running: [ODD_ROW] })
    expect(granted).toBeLessThan(agent.advance(0))
    listFor(1_000, { running: [ODD_ROW] })
    expect(isLeaseExtended()).toBe(true)
  })

  it('does not keep a new agent from serving for good, but until a run of that row must have ended', () => {
    listFor(RUN_LEASE_BOUND_MILLISECONDS - LISTING_MILLISECONDS, { running: [ODD_ROW] })
    expect(agent.order(1).verdicts).toEqual(['not-accepting'])
    listFor(1_000, { running: [ODD_ROW] })
    expect(agent.order(2).verdicts).toEqual(['accepted'])
  })

  it('does not hold a run for good whose lease ended while its stop got no answer', () => {
    agent.list()
    agent.order(1)
    agent.answerLastStart('taken')
    agent.stop(1)
    agent.answerLastStop('unanswered')
    listFor(2_000, { doubtfulTasks: new Set([TASK]) })
    agent.answerLastStop('taken')
    listFor(LISTING_MILLISECONDS, { doubtfulTasks: new Set([TASK]) })
    expect(agent.watch().reports).toMatchObject([{ task: TASK, outcome: 'lost' }])
    expect(isLeaseExtended()).toBe(true)
  })

  it('is taken for a run again once a listing without it was seen', () => {
    agent.list()
    listFor(2_000, { running: [ODD_ROW] })
    agent.list()
    agent.list({ running: [ODD_ROW] })
    const granted = agent.nextLease()
    listFor(RUN_LEASE_BOUND_MILLISECONDS - LISTING_MILLISECONDS, { running: [ODD_ROW] })
    expect(agent.nextLease()).toBe(granted)
  })
})
