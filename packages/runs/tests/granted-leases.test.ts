import { beforeEach, describe, expect, it } from 'vitest'
import { RUN_LEASE_MILLISECONDS } from '@baobabpost/fleet-calls'
import { createRegistryUnderTest, heartbeat, TASK, type RegistryUnderTest } from './registry-under-test.js'

const RUNNING = { running: [{ task: TASK, run: 1, percent: 10 }] }

let agent: RegistryUnderTest

beforeEach(() => {
  agent = createRegistryUnderTest()
  agent.registry.handleHeartbeat(heartbeat(), agent.advance(1))
  agent.list()
  agent.order(1)
  agent.answerLastStart('taken')
})

describe('a lease end that is granted to the upstream', () => {
  // The upstream keeps the latest end that it was told, so no later order takes it back.
  it('does not follow one reading of the clock that is far ahead', () => {
    agent.list(RUNNING, agent.advance(0) + 60_000)
    agent.watch()
    expect(agent.nextLease() ?? 0).toBeLessThanOrEqual(agent.advance(0) + RUN_LEASE_MILLISECONDS)
  })
})

describe('a run whose task a listing also names with another run number', () => {
  it('keeps its lease, although that row is listed again and again', () => {
    const odd = { task: TASK, run: 900, percent: 0 }
    for (let elapsed = 0; elapsed < 2_000; elapsed += 90) {
      agent.advance(90)
      agent.watch()
      agent.list({ running: [{ task: TASK, run: 1, percent: elapsed / 100 }, odd] })
    }
    expect(agent.nextLease() ?? 0).toBeGreaterThan(agent.advance(0))
  })
})

// The agent was paused: its entry's caller had gone elsewhere, and the listing came before the tick.
it('starts no waiting run whose entry lease has ended when a listing shows room for it', () => {
  const paused = createRegistryUnderTest()
  const capacity = { processor: 1_000, memory: 131_072, accelerators: 0 }
  paused.registry.handleHeartbeat(heartbeat({ capacity }), paused.advance(1))
  paused.list()
  paused.order(1)
  paused.answerLastStart('taken')
  paused.order(1, '5c0e7a21d94b36f8.0.0.1')
  paused.advance(1_900)
  paused.list({ ended: [{ number: 1, task: TASK, run: 1, kind: 'done' }] })
  expect(paused.starts).toHaveLength(1)
  expect(paused.watch().reports).toMatchObject([{ outcome: 'done' }, { outcome: 'not-started' }])
})
