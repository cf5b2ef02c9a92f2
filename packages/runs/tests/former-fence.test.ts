import { beforeEach, describe, expect, it } from 'vitest'
import type { WatchAnswer } from '@baobabpost/fleet-calls'
import { createRegistryUnderTest, heartbeat, type RegistryUnderTest } from './registry-under-test.js'

/** Above the token of the agent under test, as after a step back of the time of day. */
const FORMER_FENCE = 60_000

let agent: RegistryUnderTest

beforeEach(() => {
  agent = createRegistryUnderTest()
  agent.registry.handleHeartbeat(heartbeat(), agent.advance(1))
  agent.list()
})

/** Lets an entry call that remembers the token of an earlier incarnation of the agent. */
function call (formerFence: number): WatchAnswer {
  const now = agent.advance(1)
  const request = {
    caller: { entry: 'entry-2', incarnation: 'entry-2-1', heardAt: 9_000, heardFrom: 'agent-0', formerFence },
    acknowledged: 0,
    profileVersion: 0,
    waitMilliseconds: 0
  }
  return agent.registry.answerWatch(agent.registry.beginWatch(request, now), request, now)
}

function nextFence (): number {
  return agent.registry.nextListOrder(0, agent.advance(1)).fencingToken
}

describe('an agent whose former incarnation had a higher fencing token', () => {
  // A late order of that incarnation started at an upstream that was started again too.
  it('exceeds it, and has cleared nothing until a listing with the new token', () => {
    expect(call(FORMER_FENCE)).toMatchObject({ cleared: false })
    expect(agent.order(1).verdicts).toEqual(['not-accepting'])
    expect(nextFence()).toBeGreaterThan(FORMER_FENCE)
    agent.list()
    expect(call(FORMER_FENCE)).toMatchObject({ cleared: true, profile: { fence: nextFence() } })
    expect(agent.order(2).verdicts).toEqual(['accepted'])
  })

  it('keeps the runs that it has started since', () => {
    agent.order(1)
    agent.answerLastStart('taken')
    call(FORMER_FENCE)
    expect(nextFence()).toBeGreaterThan(FORMER_FENCE)
    expect(agent.watch().reports).toEqual([])
  })

  it('keeps its own token if an entry tells one that no step of the time of day explains', () => {
    const fence = nextFence()
    call(1e15)
    expect(nextFence()).toBe(fence)
  })
})
