import { expect, it } from 'vitest'
import { ENTRY_LEASE_MILLISECONDS } from '@baobabpost/fleet-calls'
import { createRegistryUnderTest, heartbeat, TASK } from './registry-under-test.js'

/** Time after which a caller whose connection broke sends its job again. */
const RESEND_MILLISECONDS = 1_300

// Its caller's repeat would run elsewhere meanwhile.
it.each([60, 190, 400])('grants no lease beyond a caller\'s repeat if the VM was suspended for %i ms', suspended => {
  const agent = createRegistryUnderTest()
  agent.registry.handleHeartbeat(heartbeat(), agent.advance(1))
  agent.list()
  agent.order(1)
  agent.answerLastStart('taken')
  agent.watch()
  const entryDiedAt = agent.advance(0)
  let latest = 0
  for (let elapsed = 0; elapsed < ENTRY_LEASE_MILLISECONDS + 100; elapsed += 10) {
    agent.advance(10)
    const lag = elapsed > 100 ? suspended : 0
    latest = Math.max(latest, agent.nextLease() ?? 0)
    agent.list({ running: [{ task: TASK, run: 1, percent: elapsed / 10 }] }, agent.advance(0) + lag + 1)
    agent.registry.tick(agent.advance(0))
  }
  expect(latest - entryDiedAt).toBeLessThan(RESEND_MILLISECONDS)
})
