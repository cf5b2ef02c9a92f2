import { beforeEach, describe, expect, it } from 'vitest'
import { createRegistryUnderTest, heartbeat, TASK, type RegistryUnderTest } from './registry-under-test.js'

const EARLIER = 'agent-0'

let agent: RegistryUnderTest

beforeEach(() => {
  agent = createRegistryUnderTest()
  agent.registry.handleHeartbeat(heartbeat(), agent.advance(1))
  agent.list()
})

describe('a call that was meant for an earlier incarnation of the agent', () => {
  it('starts nothing, since the entry takes its runs to have ended with that incarnation', () => {
    expect(agent.order(1, TASK, EARLIER).verdicts).toEqual(['stale'])
    expect(agent.starts).toHaveLength(0)
  })

  it('does not report a run of that incarnation as not started, which may still run', () => {
    agent.stop(1, EARLIER)
    expect(agent.watch().reports).toEqual([])
  })

  it('does not acknowledge the reports of this incarnation', () => {
    agent.order(1)
    agent.answerLastStart('taken')
    agent.list({ ended: [{ number: 1, task: TASK, run: 1, kind: 'done' }] })
    agent.watch(500, EARLIER)
    expect(agent.watch().reports).toMatchObject([{ task: TASK, outcome: 'done' }])
  })
})
