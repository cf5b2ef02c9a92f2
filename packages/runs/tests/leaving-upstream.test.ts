import { beforeEach, describe, expect, it } from 'vitest'
import type { OrderOutcome } from '@baobabpost/runs'
import { createRegistryUnderTest, heartbeat, TASK, type RegistryUnderTest } from './registry-under-test.js'

let agent: RegistryUnderTest

beforeEach(() => {
  agent = createRegistryUnderTest()
  agent.registry.handleHeartbeat(heartbeat(), agent.advance(1))
  agent.list()
})

/** Lets the last start order fail, as far as the point at which the agent would repeat it. */
function failLastStart (outcome: OrderOutcome): void {
  agent.answerLastStart(outcome)
  if (outcome !== 'unanswered') return
  agent.list()
  if (agent.stops.length === 0) return
  agent.answerLastStop('taken')
  agent.list()
}

describe('an order that fails at an upstream', () => {
  const repeatableOutcomes: readonly OrderOutcome[] = ['fenced', 'old-run', 'late', 'unanswered']

  it.each(repeatableOutcomes)('is repeated after %s while the upstream stays', outcome => {
    agent.order(1)
    failLastStart(outcome)
    expect(agent.starts).toHaveLength(2)
  })

  it.each(repeatableOutcomes)('is not repeated after %s once the upstream has said that it leaves', outcome => {
    agent.order(1)
    agent.registry.handleHeartbeat(heartbeat({ sequence: 2, isDraining: true }), agent.advance(1))
    failLastStart(outcome)
    expect(agent.starts).toHaveLength(1)
    expect(agent.watch().reports).toMatchObject([{ task: TASK, run: 1, outcome: 'not-started' }])
  })

  it.each(repeatableOutcomes)('is not repeated after %s once the agent itself shuts down', outcome => {
    agent.order(1)
    agent.registry.stopAccepting(agent.advance(1))
    failLastStart(outcome)
    expect(agent.starts).toHaveLength(1)
    expect(agent.watch().reports).toMatchObject([{ task: TASK, run: 1, outcome: 'not-started' }])
  })
})

describe('a heartbeat', () => {
  it('of an instance that ended is not acknowledged', () => {
    agent.registry.handleHeartbeat(heartbeat({ instance: { id: 'i-2', startedAt: 9_000 } }), agent.advance(1))
    expect(agent.registry.handleHeartbeat(heartbeat({ sequence: 2, isDraining: true }), agent.advance(1))).toBe(false)
  })

  it('that says that the upstream leaves counts also when a later one overtook it', () => {
    agent.registry.handleHeartbeat(heartbeat({ sequence: 3 }), agent.advance(1))
    expect(agent.registry.handleHeartbeat(heartbeat({ sequence: 2, isDraining: true }), agent.advance(1))).toBe(true)
    expect(agent.order(1).verdicts).toEqual(['not-accepting'])
  })
})

describe('an upstream that was started again in place', () => {
  const secondInstance = { id: 'i-1', startedAt: 5_000 }

  /** Answers a listing that was requested from the former instance. */
  let answerLate: ReturnType<RegistryUnderTest['requestListing']>

  beforeEach(() => {
    agent.registry.handleHeartbeat(heartbeat({ sequence: 20 }), agent.advance(1))
    answerLate = agent.requestListing()
    agent.list({ startedAt: secondInstance.startedAt })
    agent.list({ startedAt: secondInstance.startedAt })
  })

  it('gets no start before its first heartbeat', () => {
    expect(agent.order(1).verdicts).toEqual(['not-accepting'])
    expect(agent.starts).toHaveLength(0)
  })

  it('gets no start after its first heartbeat says that it leaves', () => {
    agent.registry.handleHeartbeat(heartbeat({ instance: secondInstance, isDraining: true }), agent.advance(1))
    expect(agent.order(1).verdicts).toEqual(['not-accepting'])
    expect(agent.starts).toHaveLength(0)
  })

  it('is described by its first heartbeat, whose number is below those of its former instance', () => {
    const capacity = { processor: 2_000, memory: 1_024, accelerators: 0 }
    agent.registry.handleHeartbeat(heartbeat({ instance: secondInstance, capacity, labels: ['b'] }), agent.advance(1))
    expect(agent.watch().profile).toMatchObject({ capacity, labels: ['b'], accepting: true })
  })
  it('gets no lease from the clock of its former instance, which answers late', () => {
    agent.registry.handleHeartbeat(heartbeat({ instance: secondInstance }), agent.advance(1))
    agent.list({ startedAt: secondInstance.startedAt }, 100)
    answerLate({}, 900_000)
    agent.order(1)
    expect(agent.starts[0]?.order.leaseUntil).toBeLessThan(2_000)
  })
})
