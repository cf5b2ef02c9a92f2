// Guards against taking a refused connection for the end of an upstream: its tasks ran at two upstreams at once.
import { beforeEach, describe, expect, it } from 'vitest'
import { LEASE_MARGIN_MILLISECONDS, MAXIMUM_LEASE_STRETCH, RUN_LEASE_MILLISECONDS } from '@baobabpost/fleet-calls'
import { createRegistryUnderTest, heartbeat, TASK, type RegistryUnderTest } from './registry-under-test.js'

/** Time after which a lease of some length is over on the slowest clock. */
const overAfter = (milliseconds: number): number => milliseconds * MAXIMUM_LEASE_STRETCH + LEASE_MARGIN_MILLISECONDS
/** The lease that an upstream gets whose orders are answered. */
const SHORT_LEASE_MILLISECONDS = 400
const LEASE_OVER_MILLISECONDS = overAfter(SHORT_LEASE_MILLISECONDS)
const OTHER_TASK = '5c0e7a21d94b36f8.0.0.1'
const NEXT_INSTANCE = { startedAt: 5_000 }
const RETRY_MILLISECONDS = 20

let agent: RegistryUnderTest
/** Time of the last order that reached the upstream. */
let renewedAt: number

beforeEach(() => {
  agent = createRegistryUnderTest()
  agent.registry.handleHeartbeat(heartbeat(), agent.advance(1))
  agent.advance(1)
  agent.list()
  agent.order(1)
  agent.answerLastStart('taken')
  agent.advance(10)
  renewedAt = agent.advance(0)
  agent.list({ running: [{ task: TASK, run: 1, percent: 10 }] })
})

/** Lets listings be refused until the given time after the last renewal. */
function refuseUntil (milliseconds: number): void {
  while (agent.advance(RETRY_MILLISECONDS) < renewedAt + milliseconds) agent.failListing('unreachable')
}

/** Keeps the run going, with listings that are answered. */
function keepListing (milliseconds: number): void {
  for (let passed = 0, percent = 10; passed < milliseconds; passed += 100, percent += 0.5) {
    agent.advance(99)
    agent.watch()
    agent.list({ running: [{ task: TASK, run: 1, percent }] })
  }
}

/** Returns the length of the lease that a list order sent now carries. */
function grantedLease (): number {
  return Math.round((agent.nextLease() ?? 0) - agent.advance(0))
}

// Several orders in a row may be lost where one was: the runs there would lapse.
it('the full lease is granted for a time after an order without an answer, and waited for', () => {
  expect(grantedLease()).toBe(SHORT_LEASE_MILLISECONDS)
  agent.loseListing()
  keepListing(5_000)
  expect(grantedLease()).toBe(RUN_LEASE_MILLISECONDS)
  renewedAt = agent.advance(0)
  refuseUntil(overAfter(RUN_LEASE_MILLISECONDS) - RETRY_MILLISECONDS)
  expect(agent.watch().reports).toEqual([])
  refuseUntil(overAfter(RUN_LEASE_MILLISECONDS) + 2 * RETRY_MILLISECONDS)
  expect(agent.watch().reports).toMatchObject([{ task: TASK, outcome: 'lost' }])
})

it('the short lease is granted again 10 s after the last order without an answer', () => {
  agent.loseListing()
  keepListing(10_200)
  expect(grantedLease()).toBe(SHORT_LEASE_MILLISECONDS)
})

describe('an upstream that refuses connections', () => {
  it('keeps its confirmed runs until the run lease is over, counted from the last order that reached it', () => {
    refuseUntil(LEASE_OVER_MILLISECONDS - RETRY_MILLISECONDS)
    expect(agent.watch().reports).toEqual([])
    refuseUntil(LEASE_OVER_MILLISECONDS + 2 * RETRY_MILLISECONDS)
    expect(agent.watch().reports).toMatchObject([{ task: TASK, outcome: 'lost' }])
  })

  it('does not prolong the wait for the lease by start orders that it refuses', () => {
    for (let number = 1; agent.advance(RETRY_MILLISECONDS) < renewedAt + 300; number += 1) {
      agent.order(1, `5c0e7a21d94b36f8.0.1.${number}`)
      agent.answerLastStart('unreachable')
    }
    expect(agent.starts.length).toBeGreaterThan(10)
    refuseUntil(LEASE_OVER_MILLISECONDS + 2 * RETRY_MILLISECONDS)
    expect(agent.watch().reports.filter(({ task }) => task === TASK)).toMatchObject([{ outcome: 'lost' }])
  })

  it('counts orders without an answer among the renewals', () => {
    agent.advance(300)
    agent.loseListing()
    refuseUntil(LEASE_OVER_MILLISECONDS + 2 * RETRY_MILLISECONDS)
    expect(agent.watch().reports).toEqual([])
    refuseUntil(300 + LEASE_OVER_MILLISECONDS + 2 * RETRY_MILLISECONDS)
    expect(agent.watch().reports).toMatchObject([{ task: TASK, outcome: 'lost' }])
  })

  it('goes on with its runs, and is told no crash, if it answers again within the lease', () => {
    refuseUntil(LEASE_OVER_MILLISECONDS - 2 * RETRY_MILLISECONDS)
    agent.list({ running: [{ task: TASK, run: 1, percent: 50 }] })
    expect(agent.watch()).toMatchObject({ reports: [], profile: { accepting: true } })
    agent.advance(LEASE_OVER_MILLISECONDS)
    agent.list({ ended: [{ number: 1, task: TASK, run: 1, kind: 'done' }] })
    const { reports, profile } = agent.watch()
    expect(reports).toMatchObject([{ task: TASK, outcome: 'done' }])
    expect(profile?.crashes).toBeUndefined()
  })

  it('ends its runs with the first listings of its next instance, long before the lease is over', () => {
    refuseUntil(100)
    agent.list(NEXT_INSTANCE)
    agent.list(NEXT_INSTANCE)
    expect(agent.advance(0)).toBeLessThan(renewedAt + 200)
    const { reports, profile } = agent.watch()
    expect(reports).toMatchObject([{ task: TASK, outcome: 'lost' }])
    expect(profile?.crashes?.crashes).toMatchObject([{ candidates: [{ task: TASK }] }])
    expect(profile?.crashes?.crashes[0]).not.toHaveProperty('isSuspected')
    expect(profile?.crashes?.crashes[0]?.candidates[0]).not.toHaveProperty('isUnconfirmed')
  })

  it('is only suspected of a crash when the lease is over, until the next instance answers or the same one', () => {
    refuseUntil(LEASE_OVER_MILLISECONDS + 2 * RETRY_MILLISECONDS)
    expect(agent.watch().profile?.crashes?.crashes).toMatchObject([{ isSuspected: true, candidates: [{ task: TASK }] }])
    agent.list()
    expect(agent.watch().profile?.crashes).toBeUndefined()
  })

  it('gets no run, and gives back at once what was not ordered', () => {
    agent.order(1, OTHER_TASK)
    agent.orderWith({ task: '5c0e7a21d94b36f8.0.0.2', size: { processor: 31_500, memory: 64, accelerators: 0 } })
    agent.answerLastStart('unreachable')
    agent.failListing('unreachable')
    expect(agent.watch().reports).toMatchObject([
      { task: OTHER_TASK, outcome: 'not-started' }, { task: '5c0e7a21d94b36f8.0.0.2', outcome: 'not-started' }
    ])
    expect(agent.order(2, OTHER_TASK).verdicts).toEqual(['not-accepting'])
    expect(agent.watch().profile?.accepting).toBe(false)
  })

  it('keeps its runs until the lease is over though it has deregistered', () => {
    agent.registry.handleDeparture('i-1', agent.advance(1))
    refuseUntil(LEASE_OVER_MILLISECONDS - RETRY_MILLISECONDS)
    expect(agent.watch().reports).toEqual([])
    refuseUntil(LEASE_OVER_MILLISECONDS + 2 * RETRY_MILLISECONDS)
    expect(agent.watch().reports).toMatchObject([{ task: TASK, outcome: 'lost' }])
  })
})

// The runs of its predecessor may go on there until the lease that the predecessor granted is over.
it('a new agent whose upstream refuses connections never tells that no earlier run is left', () => {
  const next = createRegistryUnderTest()
  next.registry.handleHeartbeat(heartbeat(), next.advance(1))
  for (let refused = 0; refused < 100; refused += 1) {
    next.advance(RETRY_MILLISECONDS)
    next.failListing('unreachable')
    next.registry.tick(next.advance(1))
    expect(next.watch()).toMatchObject({ cleared: false, profile: { accepting: false } })
  }
  next.list({ running: [{ task: TASK, run: 1, percent: 10 }] })
  expect(next.watch().cleared).toBe(false)
  next.list()
  expect(next.watch().cleared).toBe(true)
})
