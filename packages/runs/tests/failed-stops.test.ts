import { beforeEach, describe, expect, it } from 'vitest'
import { createRegistryUnderTest, heartbeat, TASK, type RegistryUnderTest } from './registry-under-test.js'

let agent: RegistryUnderTest

beforeEach(() => {
  agent = createRegistryUnderTest()
  agent.registry.handleHeartbeat(heartbeat(), agent.advance(1))
  agent.list()
  agent.order(1)
})

describe('a stop order that fails', () => {
  // Each answer sent the next order: hundreds a second, for as long as connections were reset.
  it.each(['unanswered', 'fenced', 'unhealthy', 'invalid'] as const)('within a millisecond (%s) is repeated once with the next tick', outcome => {
    agent.answerLastStart('taken')
    agent.stop(1)
    for (let round = 1; round < 4; round += 1) {
      agent.answerLastStop(outcome)
      expect(agent.stops).toHaveLength(round)
      agent.registry.tick(agent.advance(40))
      expect(agent.stops).toHaveLength(round + 1)
    }
  })

  it('after its timeout is repeated at once', () => {
    agent.answerLastStart('taken')
    agent.stop(1)
    agent.advance(50)
    agent.answerLastStop('unanswered')
    expect(agent.stops).toHaveLength(2)
  })

  // Nothing was done: its entry would start the task elsewhere, while the start order may yet be carried out.
  it.each(['unhealthy', 'invalid'] as const)('as %s does not prove that a run whose start got no answer is gone', outcome => {
    const outdated = agent.requestListing()
    agent.answerLastStart('unanswered')
    agent.advance(1)
    agent.stop(1)
    agent.answerLastStop(outcome)
    outdated()
    expect(agent.watch().reports).toEqual([])
    const { fencingToken } = agent.registry.nextListOrder(0, agent.advance(1))
    expect(fencingToken).toBeGreaterThan(agent.starts[0]?.order.fencingToken ?? Infinity)
    agent.list()
    expect(agent.watch().reports).toMatchObject([{ task: TASK, outcome: 'not-started' }])
  })

  // Its entry would start the task elsewhere, while the next instance may yet carry out the start order.
  it.each(['unreachable', 'other-life'] as const)('as %s does not end a run whose start got no answer', outcome => {
    agent.answerLastStart('unanswered')
    agent.advance(1)
    agent.stop(1)
    agent.answerLastStop(outcome)
    expect(agent.watch().reports).toEqual([])
    agent.failListing(outcome)
    expect(agent.watch().reports).toEqual([])
    agent.list({ startedAt: 5_000 })
    agent.list({ startedAt: 5_000 })
    agent.list({ startedAt: 5_000 })
    expect(agent.watch().reports).toMatchObject([{ task: TASK, outcome: 'lost' }])
  })
})
