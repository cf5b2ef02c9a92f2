import { beforeEach, expect, it } from 'vitest'
import { createRegistryUnderTest, heartbeat, TASK, type RegistryUnderTest } from './registry-under-test.js'

const NEXT_INSTANCE = { startedAt: 5_000 }

let agent: RegistryUnderTest

beforeEach(() => {
  agent = createRegistryUnderTest()
  agent.registry.handleHeartbeat(heartbeat(), agent.advance(1))
  agent.list()
})

// Guards against starting tasks at the next instance, which may be of another kind, as soon as a cut has healed.
it('after a listing without an answer starts nothing until one shows that the same instance answers', () => {
  agent.loseListing()
  agent.watch()
  expect(agent.order(1).verdicts).toEqual(['accepted'])
  agent.registry.tick(agent.advance(1))
  expect(agent.starts).toEqual([])
  agent.list()
  expect(agent.starts).toHaveLength(1)
})

it('gives back what it holds if another instance answers', () => {
  agent.loseListing()
  agent.watch()
  agent.order(1)
  agent.list(NEXT_INSTANCE)
  expect(agent.starts).toEqual([])
  expect(agent.watch().reports).toMatchObject([{ task: TASK, outcome: 'not-started' }])
})

it('after two listings without an answer accepts nothing until one is answered', () => {
  agent.loseListing()
  agent.loseListing()
  agent.watch()
  expect(agent.order(1).verdicts).toEqual(['not-accepting'])
  agent.list()
  expect(agent.order(2).verdicts).toEqual(['accepted'])
})
