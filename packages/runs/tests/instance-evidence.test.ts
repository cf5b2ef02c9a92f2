import { beforeEach, describe, expect, it } from 'vitest'
import { createRegistryUnderTest, heartbeat, TASK, type RegistryUnderTest } from './registry-under-test.js'

let agent: RegistryUnderTest

beforeEach(() => {
  agent = createRegistryUnderTest()
  agent.registry.handleHeartbeat(heartbeat(), agent.advance(1))
  agent.advance(1)
  agent.list()
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

  it('of an upstream that is gone ends its runs with the next refused connection', () => {
    agent.registry.handleDeparture('i-1', agent.advance(1))
    agent.failListing('unreachable')
    expect(agent.watch().reports).toMatchObject([{ task: TASK, outcome: 'lost' }])
  })
})
