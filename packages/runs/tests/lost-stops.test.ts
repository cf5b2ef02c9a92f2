import { beforeEach, describe, expect, it } from 'vitest'
import { ENTRY_LEASE_MILLISECONDS, RUN_LEASE_MILLISECONDS } from '@baobabpost/fleet-calls'
import { createRegistryUnderTest, heartbeat, TASK, type RegistryUnderTest } from './registry-under-test.js'

/** Lease that is granted while start and list orders are answered. */
const SHORT_LEASE_MILLISECONDS = 400
const OTHER_TASK = '5c0e7a21d94b36f8.0.0.1'
const RUNNING = { running: [{ task: TASK, run: 1, percent: 10 }] }

let agent: RegistryUnderTest

beforeEach(() => {
  agent = createRegistryUnderTest()
  agent.registry.handleHeartbeat(heartbeat(), agent.advance(1))
  agent.list()
  agent.order(1)
})

/** Loses stop orders while listings are answered; returns the latest lease end that an order carries meanwhile. */
function loseStops (milliseconds: number): number {
  const endsAt = agent.advance(0) + milliseconds
  let latest = 0
  while (agent.advance(50) < endsAt) {
    agent.registry.tick(agent.advance(0))
    if (agent.stops.length > 0) agent.answerLastStop('unanswered')
    latest = Math.max(latest, agent.nextLease() ?? 0)
    agent.list(RUNNING)
  }
  return latest
}

describe('the run lease, while a stop gets no answer and listings do', () => {
  // Its caller's repeat ran elsewhere, while the run of the lost entry lived on to its end.
  it('is not renewed for a run whose entry is lost, although the agent has not noticed that yet', () => {
    agent.answerLastStart('taken')
    agent.watch()
    const leaseEndsAt = agent.advance(0) + ENTRY_LEASE_MILLISECONDS
    while (agent.advance(50) < leaseEndsAt) agent.list(RUNNING)
    agent.list(RUNNING)
    expect(loseStops(1_500)).toBeLessThan(leaseEndsAt + SHORT_LEASE_MILLISECONDS)
  })

  it('is not renewed for a run that its entry stops, nor by starts of others', () => {
    agent.answerLastStart('taken')
    agent.stop(1)
    const stoppedAt = agent.advance(0)
    agent.watch()
    agent.order(1, OTHER_TASK)
    expect(agent.starts[1]?.order.leaseUntil).toBeLessThanOrEqual(stoppedAt + SHORT_LEASE_MILLISECONDS)
    expect(loseStops(500)).toBeLessThanOrEqual(stoppedAt + SHORT_LEASE_MILLISECONDS)
  })

  it('is renewed again once the stop is confirmed', () => {
    agent.answerLastStart('taken')
    agent.stop(1)
    loseStops(300)
    agent.watch()
    agent.answerLastStop('taken')
    expect(agent.nextLease()).toBe(agent.advance(0) + SHORT_LEASE_MILLISECONDS)
  })

  it('is renewed while a run whose start orders got no answer is stopped to be given back', () => {
    for (let lost = 0; lost < 3; lost += 1) {
      agent.answerLastStart('unanswered')
      agent.advance(1)
      agent.list()
    }
    agent.answerLastStop('unanswered')
    agent.watch()
    expect(agent.nextLease()).toBe(agent.advance(0) + RUN_LEASE_MILLISECONDS)
  })

  it('is not renewed for a run that is not in the registry, until a listing shows none', () => {
    agent.answerLastStart('taken')
    agent.list({ running: [...RUNNING.running, { task: OTHER_TASK, run: 1, percent: 0 }] })
    const listedAt = agent.advance(0)
    agent.advance(100)
    expect(agent.nextLease()).toBeLessThanOrEqual(listedAt + SHORT_LEASE_MILLISECONDS)
    agent.list(RUNNING)
    expect(agent.nextLease()).toBe(agent.advance(0) + SHORT_LEASE_MILLISECONDS)
  })
})

describe('a run whose start and stop both got no answer', () => {
  it('ends once a listing with a higher fencing token does not show it', () => {
    const outdated = agent.requestListing()
    agent.answerLastStart('unanswered')
    agent.stop(1)
    agent.answerLastStop('unanswered')
    outdated()
    expect(agent.watch().reports).toEqual([])
    agent.list()
    expect(agent.watch().reports).toMatchObject([{ task: TASK, outcome: 'not-started' }])
  })
})

describe('a run that is stopped because its start orders got no answer', () => {
  // The answer to its late stop counted for the next start order, and the run was reported lost when it had started.
  it('is not started again, although another run has raised the fencing token', () => {
    agent.order(1, OTHER_TASK)
    for (let lost = 0; lost < 3; lost += 1) {
      agent.answerLastStart('unanswered')
      agent.advance(1)
      agent.list()
    }
    expect(agent.stops).toHaveLength(1)
    agent.stop(1)
    for (const { record } of agent.starts.slice(0, 1)) {
      agent.registry.handleStopAnswer(record, { outcome: 'unanswered', clock: undefined }, 7, agent.advance(50))
    }
    agent.list()
    expect(agent.starts).toHaveLength(4)
    expect(agent.watch().reports).toMatchObject([{ outcome: 'not-started' }, { outcome: 'not-started' }])
  })
})
