import { describe, expect, it } from 'vitest'
import { LEASE_MARGIN_MILLISECONDS, MAXIMUM_LEASE_STRETCH } from '@baobabpost/fleet-calls'
import { createRegistryUnderTest, heartbeat, TASK } from './registry-under-test.js'

/** Age up to which an order without an answer, or the run that it has started, may be there. */
const LATE_ORDER_MILLISECONDS = 13_040
/** Time after a renewal at which the lease that it granted is over on the slowest clock. */
const LEASE_OVER_MILLISECONDS = 400 * MAXIMUM_LEASE_STRETCH + LEASE_MARGIN_MILLISECONDS
const OTHER_TASK = '5c0e7a21d94b36f8.0.0.1'

describe('the runs of an upstream that refuses connections', () => {
  it('are not reported lost while a later start order may have renewed their lease', () => {
    const agent = createRegistryUnderTest()
    agent.registry.handleHeartbeat(heartbeat(), agent.advance(1))
    agent.list()
    agent.order(1)
    agent.answerLastStart('taken')
    agent.advance(200)
    agent.watch()
    const orderedAt = agent.advance(0)
    agent.order(1, OTHER_TASK)
    expect(agent.starts).toHaveLength(2)
    agent.answerLastStart('unanswered')
    const refuseUntil = (time: number): void => {
      while (agent.advance(20) < time) agent.failListing('unreachable')
    }
    refuseUntil(orderedAt + LEASE_OVER_MILLISECONDS - 20)
    expect(agent.watch().reports).toEqual([])
    refuseUntil(orderedAt + LEASE_OVER_MILLISECONDS + 40)
    expect(agent.watch().reports).toMatchObject([{ task: TASK, outcome: 'lost' }])
    refuseUntil(orderedAt + LATE_ORDER_MILLISECONDS + 40)
    expect(agent.watch().reports).toMatchObject([{ outcome: 'lost' }, { task: OTHER_TASK, outcome: 'lost' }])
  })
})
