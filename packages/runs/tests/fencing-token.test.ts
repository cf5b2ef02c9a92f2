import { beforeEach, describe, expect, it } from 'vitest'
import { createRegistryUnderTest, heartbeat, type RegistryUnderTest } from './registry-under-test.js'

/** Token of the agent under test. */
const FIRST_TOKEN = 7

let agent: RegistryUnderTest

beforeEach(() => {
  agent = createRegistryUnderTest()
  agent.registry.handleHeartbeat(heartbeat(), agent.advance(1))
})

/** Lets the upstream reject tokens below `seen`; returns the token that it takes, and the number of listings. */
function raiseAbove (seen: number): { token: number, listings: number } {
  for (let listings = 1; ; listings += 1) {
    const { fencingToken } = agent.registry.nextListOrder(0, agent.advance(1))
    if (fencingToken >= seen) return { token: fencingToken, listings }
    agent.failListing('fenced')
  }
}

describe('a fencing token that the upstream rejects', () => {
  // The next incarnation began below it, and an instance that started again took late orders of the former one.
  it.each([1, 500, 2_000, 60_000])('is raised by no more than a second, or twice what it lacks (%i)', lacking => {
    const { token } = raiseAbove(FIRST_TOKEN + lacking)
    expect(token - FIRST_TOKEN).toBeLessThanOrEqual(Math.max(1_000, 2 * lacking))
  })

  it('reaches that of an incarnation with a time of day an hour ahead within 50 listings', () => {
    expect(raiseAbove(FIRST_TOKEN + 3_600_000).listings).toBeLessThanOrEqual(50)
  })

  it('is raised by a small step again once the upstream has served', () => {
    const { token } = raiseAbove(FIRST_TOKEN + 60_000)
    agent.list()
    expect(agent.order(1).verdicts).toEqual(['accepted'])
    agent.failListing('fenced')
    expect(agent.registry.nextListOrder(0, agent.advance(1)).fencingToken).toBe(token + 1_000)
  })
})
