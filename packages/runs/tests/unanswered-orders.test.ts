import { beforeEach, describe, expect, it } from 'vitest'
import { createRegistryUnderTest, heartbeat, TASK, type RegistryUnderTest } from './registry-under-test.js'

let agent: RegistryUnderTest

beforeEach(() => {
  agent = createRegistryUnderTest()
  agent.registry.handleHeartbeat(heartbeat(), agent.advance(1))
  agent.list()
})

/** Lets the last start order get no answer, until a stop and a listing show that its run can't start any more. */
function loseLastStart (): void {
  agent.answerLastStart('unanswered')
  agent.list()
  agent.answerLastStop('taken')
  agent.list()
}

describe('a run at an upstream that loses most orders', () => {
  // Six repetitions took longer than the deadlines of short jobs, while other upstreams had free capacity.
  it('goes back to its entry after two repetitions', () => {
    agent.order(1)
    for (let lost = 0; lost < 3; lost += 1) loseLastStart()
    expect(agent.starts).toHaveLength(3)
    expect(agent.watch().reports).toMatchObject([{ task: TASK, outcome: 'not-started', reason: 'order unanswered' }])
    expect(agent.watch().room.failureShare).toBeGreaterThan(0)
  })

  it('is not given back while its last order may still be carried out', () => {
    agent.order(1)
    loseLastStart()
    loseLastStart()
    agent.answerLastStart('unanswered')
    agent.list()
    expect(agent.watch().reports).toEqual([])
    agent.answerLastStop('taken')
    expect(agent.watch().reports).toEqual([])
  })
})
