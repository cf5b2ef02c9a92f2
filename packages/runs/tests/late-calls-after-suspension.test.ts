import { expect, it } from 'vitest'
import { createRegistryUnderTest, heartbeat, TASK } from './registry-under-test.js'

const SUSPENDED_MILLISECONDS = 400
const RUNNING = { running: [{ task: TASK, run: 1, percent: 0 }] }

// Calls that waited at the suspended VM would renew the lease by its length.
it('ends the lease of an entry whose last calls arrive after a suspension of the VM', () => {
  const agent = createRegistryUnderTest()
  agent.registry.handleHeartbeat(heartbeat(), agent.advance(1))
  agent.list()
  agent.order(1)
  agent.answerLastStart('taken')
  const { clock } = agent.watch()
  const caller = { entry: 'entry-1', incarnation: 'entry-1-1', heardAt: clock, heardFrom: 'agent-1' }
  for (let elapsed = 0; elapsed < 200; elapsed += 10) {
    agent.advance(10)
    agent.list(RUNNING, agent.advance(0) + SUSPENDED_MILLISECONDS + 1)
  }
  agent.registry.beginWatch({ caller, acknowledged: 0, profileVersion: 0, waitMilliseconds: 0 }, agent.advance(1))
  agent.registry.tick(agent.advance(1))
  expect(agent.stops).toHaveLength(1)
})

it('tells entries a clock that advances while the VM is suspended', () => {
  const agent = createRegistryUnderTest()
  agent.registry.handleHeartbeat(heartbeat(), agent.advance(1))
  for (let listing = 0; listing < 4; listing += 1) agent.list()
  const before = agent.watch().clock
  const heardAt = agent.advance(0)
  for (let listing = 0; listing < 4; listing += 1) agent.list({}, agent.advance(0) + SUSPENDED_MILLISECONDS + 1)
  expect(agent.watch().clock - before).toBeCloseTo(agent.advance(0) - heardAt + SUSPENDED_MILLISECONDS, 0)
})
