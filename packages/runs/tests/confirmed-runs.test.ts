import { beforeEach, describe, expect, it } from 'vitest'
import { createRegistryUnderTest, heartbeat, TASK, type RegistryUnderTest } from './registry-under-test.js'

let agent: RegistryUnderTest

beforeEach(() => {
  agent = createRegistryUnderTest()
  agent.registry.handleHeartbeat(heartbeat(), agent.advance(1))
  agent.list()
  agent.order(1)
})

describe('a run is told as confirmed', () => {
  it('once its start order is answered, until its entry has received an answer that says so', () => {
    expect(agent.watch()).not.toHaveProperty('confirmed')
    agent.answerLastStart('taken')
    expect(agent.watch().confirmed).toEqual([{ task: TASK, run: 1 }])
    agent.advance(5)
    expect(agent.watch()).not.toHaveProperty('confirmed')
  })

  it('if its start order got no answer, and a listing shows it', () => {
    agent.answerLastStart('unanswered')
    expect(agent.watch()).not.toHaveProperty('confirmed')
    agent.list({ running: [{ task: TASK, run: 1, percent: 1 }] })
    expect(agent.watch().confirmed).toEqual([{ task: TASK, run: 1 }])
  })

  // The next instance of the upstream may carry the first order out when the agent is gone.
  it('never, if its first order got no answer and a repeated one was confirmed', () => {
    agent.answerLastStart('unanswered')
    agent.list()
    agent.answerLastStart('taken')
    agent.list({ running: [{ task: TASK, run: 1, percent: 1 }] })
    expect(agent.watch()).not.toHaveProperty('confirmed')
  })

  it('never after its end', () => {
    agent.answerLastStart('taken')
    agent.list({ ended: [{ number: 1, task: TASK, run: 1, kind: 'done' }] })
    expect(agent.watch()).not.toHaveProperty('confirmed')
  })
})
