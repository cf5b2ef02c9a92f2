import { beforeEach, describe, expect, it } from 'vitest'
import { RUN_LEASE_BOUND_MILLISECONDS } from '@baobabpost/fleet-calls'
import { createRegistryUnderTest, heartbeat, TASK, type RegistryUnderTest } from './registry-under-test.js'

const LATER_START = { id: 'i-1', startedAt: 5_000 }
/** Age up to which an order without an answer, or the run that it has started, may be there. */
const LATE_ORDER_MILLISECONDS = 13_040

let agent: RegistryUnderTest

beforeEach(() => {
  agent = createRegistryUnderTest()
  agent.registry.handleHeartbeat(heartbeat(), agent.advance(1))
  agent.advance(1)
  agent.list()
})

describe('a refused connection to the upstream', () => {
  // Its entry would start the task elsewhere, while the next instance may yet carry out the order.
  it('does not end a run whose order got no answer while that may still be carried out', () => {
    agent.order(1)
    const orderedAt = agent.advance(0)
    agent.answerLastStart('unanswered')
    agent.failListing('unreachable')
    while (agent.advance(10) < orderedAt + LATE_ORDER_MILLISECONDS - 10) agent.failListing('unreachable')
    expect(agent.watch().reports).toEqual([])
    agent.advance(20)
    agent.failListing('unreachable')
    expect(agent.watch().reports).toMatchObject([{ task: TASK, outcome: 'lost' }])
  })

  it('ends such a run once the next instance, fenced, does not list it', () => {
    agent.order(1)
    agent.answerLastStart('unanswered')
    agent.failListing('unreachable')
    agent.list({ startedAt: LATER_START.startedAt, running: [{ task: TASK, run: 1, percent: 0 }] })
    agent.list({ startedAt: LATER_START.startedAt, running: [{ task: TASK, run: 1, percent: 0 }] })
    expect(agent.watch().reports).toEqual([])
    agent.list({ startedAt: LATER_START.startedAt })
    expect(agent.watch().reports).toMatchObject([{ task: TASK, outcome: 'lost' }])
  })
})

describe('an upstream that answers no more', () => {
  const OTHER_TASK = '5c0e7a21d94b36f8.0.0.1'
  const THIRD_TASK = '5c0e7a21d94b36f8.0.0.2'

  beforeEach(() => {
    agent.order(1)
    agent.answerLastStart('taken')
    agent.order(1, OTHER_TASK)
    agent.answerLastStart('unanswered')
    const orderedAt = agent.advance(0)
    while (agent.advance(0) < orderedAt + RUN_LEASE_BOUND_MILLISECONDS + 200) agent.loseListing()
  })

  // Under its id, with its clock and fencing token anew, the order is valid; the task was started elsewhere by then.
  it('may start again and carry out an order without an answer, whose run is not reported lost with the run lease', () => {
    expect(agent.watch().reports).toMatchObject([{ task: TASK, outcome: 'lost' }])
    agent.list({ startedAt: LATER_START.startedAt, running: [{ task: OTHER_TASK, run: 1, percent: 0 }] }, 100)
    agent.list({ startedAt: LATER_START.startedAt, running: [{ task: OTHER_TASK, run: 1, percent: 0 }] }, 120)
    expect(agent.watch().reports).toHaveLength(1)
    agent.list({ startedAt: LATER_START.startedAt }, 140)
    expect(agent.watch().reports).toMatchObject([{ task: TASK }, { task: OTHER_TASK, outcome: 'lost' }])
  })

  it('and does again ends such a run with its first listing under the raised fencing token', () => {
    agent.list()
    expect(agent.watch().reports).toMatchObject([{ task: TASK }, { task: OTHER_TASK, outcome: 'lost' }])
    expect(agent.order(1, THIRD_TASK).verdicts).toEqual(['accepted'])
  })

  it('for good does not hold such a run for ever', () => {
    const silentAt = agent.advance(0)
    while (agent.advance(0) < silentAt + LATE_ORDER_MILLISECONDS) agent.loseListing()
    expect(agent.watch().reports).toMatchObject([{ task: TASK }, { task: OTHER_TASK, outcome: 'lost' }])
  })
})

describe('a deregistration', () => {
  beforeEach(() => {
    agent.order(1)
    agent.answerLastStart('taken')
  })

  // It names only an id; the runs of the current instance would be started again elsewhere.
  it('that may be a late one of an earlier instance does not end the runs that are listed', () => {
    agent.registry.handleDeparture('i-1', agent.advance(1))
    agent.list({ running: [{ task: TASK, run: 1, percent: 10 }] })
    expect(agent.watch().reports).toEqual([])
    agent.list({ ended: [{ number: 1, task: TASK, run: 1, kind: 'done' }] })
    expect(agent.watch().reports).toMatchObject([{ task: TASK, outcome: 'done' }])
  })

  it('stops new starts until a later heartbeat', () => {
    agent.registry.handleDeparture('i-1', agent.advance(1))
    expect(agent.order(1, 'b').verdicts).toEqual(['not-accepting'])
    agent.registry.handleHeartbeat(heartbeat({ sequence: 2 }), agent.advance(1))
    expect(agent.order(2, 'b').verdicts).toEqual(['accepted'])
  })
})

describe('an instance whose start time lies before that of its predecessor', () => {
  const EARLIER_START = { id: 'i-1', startedAt: 400 }

  // The runs of the instance before were never ended and nothing started, until the agent was restarted.
  it('is served, and the runs of its predecessor end', () => {
    agent.order(1)
    agent.answerLastStart('taken')
    agent.advance(1)
    expect(agent.registry.handleHeartbeat(heartbeat({ instance: EARLIER_START }), agent.advance(1))).toBe(false)
    agent.list({ startedAt: EARLIER_START.startedAt })
    agent.list({ startedAt: EARLIER_START.startedAt })
    expect(agent.watch().reports).toMatchObject([{ task: TASK, outcome: 'lost' }])
    expect(agent.registry.handleHeartbeat(heartbeat({ instance: EARLIER_START }), agent.advance(1))).toBe(true)
    expect(agent.order(1, 'b').verdicts).toEqual(['accepted'])
  })

  it('is served under an id of its own', () => {
    const instance = { id: 'i-2', startedAt: 400 }
    expect(agent.registry.handleHeartbeat(heartbeat({ instance }), agent.advance(1))).toBe(false)
    agent.failListing('other-life')
    agent.list({ startedAt: 400 })
    expect(agent.registry.handleHeartbeat(heartbeat({ instance }), agent.advance(1))).toBe(true)
    expect(agent.order(1).verdicts).toEqual(['accepted'])
  })

  it('is not replaced by late messages of its predecessor', () => {
    agent.list({ startedAt: EARLIER_START.startedAt })
    agent.list({ startedAt: EARLIER_START.startedAt })
    expect(agent.registry.handleHeartbeat(heartbeat({ sequence: 9 }), agent.advance(1))).toBe(false)
    expect(agent.registry.handleHeartbeat(heartbeat({ instance: EARLIER_START }), agent.advance(1))).toBe(true)
    expect(agent.order(1).verdicts).toEqual(['accepted'])
  })

  it('is not assumed where the listing was requested before the known instance was', () => {
    const lateAnswer = agent.requestListing()
    agent.registry.handleHeartbeat(heartbeat({ instance: LATER_START }), agent.advance(5))
    lateAnswer({ startedAt: 1_000 })
    agent.advance(1)
    agent.list({ startedAt: LATER_START.startedAt })
    expect(agent.order(1).verdicts).toEqual(['accepted'])
  })
})
