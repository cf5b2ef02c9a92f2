import { describe, expect, it } from 'vitest'
import { createRegistryUnderTest, heartbeat, TASK } from './registry-under-test.js'

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

  it.each([
    ['one by one or in another order', [4, 8, 5, 9, 7, 6, 6, 6]], ['in their order, as a partition held them', [4, 8, 5, 6, 7]]
  ])('is told from late heartbeats that come %s', (_title, sequences) => {
    const agent = createRegistryUnderTest()
    for (const sequence of sequences) {
      const capacity = sequence >= 8 ? LARGER : heartbeat().capacity
      agent.registry.handleHeartbeat(heartbeat({ sequence, capacity }), agent.advance(10))
    }
    expect(agent.watch().profile?.capacity).toEqual(LARGER)
  })
})

describe('one listing with a clock far ahead', () => {
  // Every later listing counted as overtaken: lost runs were never found, and a new instance was never served.
  it('does not make all later listings count as overtaken', () => {
    const agent = createRegistryUnderTest()
    agent.registry.handleHeartbeat(heartbeat(), agent.advance(1))
    agent.list()
    agent.order(1)
    agent.answerLastStart('taken')
    agent.list({ running: [{ task: TASK, run: 1, percent: 10 }] }, 9e11)
    agent.advance(20)
    agent.list()
    expect(agent.watch().reports).toMatchObject([{ task: TASK, outcome: 'lost' }])
  })

  it('leaves a listing overtaken that is a little behind', () => {
    const agent = createRegistryUnderTest()
    agent.registry.handleHeartbeat(heartbeat(), agent.advance(1))
    agent.list()
    agent.order(1)
    agent.answerLastStart('taken')
    agent.list({ running: [{ task: TASK, run: 1, percent: 10 }] })
    agent.list({}, agent.advance(20) - 100)
    expect(agent.watch().reports).toEqual([])
  })
})

describe('a run beside an odd row of the same task', () => {
  function startRun (): ReturnType<typeof createRegistryUnderTest> {
    const agent = createRegistryUnderTest()
    agent.registry.handleHeartbeat(heartbeat(), agent.advance(1))
    agent.list()
    agent.order(1)
    agent.answerLastStart('taken')
    return agent
  }

  // It was reported as lost while it ran, and its task started elsewhere.
  it('is not taken for lost when the listing names its task with another run number', () => {
    const agent = startRun()
    agent.list({ running: [{ task: TASK, run: 1, percent: 10 }, { task: TASK, run: 7, percent: 10 }] })
    expect(agent.watch().reports).toEqual([])
  })

  it('is not taken for lost when the row of its task does not decode', () => {
    const agent = startRun()
    agent.list({ doubtfulTasks: new Set([TASK]) })
    expect(agent.watch().reports).toEqual([])
    agent.list()
    expect(agent.watch().reports).toMatchObject([{ task: TASK, outcome: 'lost' }])
  })
})
