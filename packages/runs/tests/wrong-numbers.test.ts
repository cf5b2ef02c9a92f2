import { describe, expect, it } from 'vitest'
import { createRegistryUnderTest, heartbeat } from './registry-under-test.js'

const LARGER = { processor: 64_000, memory: 131_072, accelerators: 0 }

describe('one heartbeat with a sequence number far too large', () => {
  it('does not make all later heartbeats count as late', () => {
    const agent = createRegistryUnderTest()
    agent.registry.handleHeartbeat(heartbeat({ sequence: 4 }), agent.advance(1))
    agent.registry.handleHeartbeat(heartbeat({ sequence: 9e11 }), agent.advance(500))
    for (const sequence of [5, 6, 7]) {
      agent.registry.handleHeartbeat(heartbeat({ sequence, capacity: LARGER }), agent.advance(500))
    }
    expect(agent.watch().profile?.capacity).toEqual(LARGER)
    agent.registry.handleHeartbeat(heartbeat({ sequence: 6 }), agent.advance(500))
    expect(agent.watch().profile?.capacity).toEqual(LARGER)
  })

  it('is told from late heartbeats, which come one by one or in another order', () => {
    const agent = createRegistryUnderTest()
    for (const sequence of [4, 8, 5, 9, 7, 6, 6, 6]) {
      const capacity = sequence >= 8 ? LARGER : heartbeat().capacity
      agent.registry.handleHeartbeat(heartbeat({ sequence, capacity }), agent.advance(10))
    }
    expect(agent.watch().profile?.capacity).toEqual(LARGER)
  })
})
