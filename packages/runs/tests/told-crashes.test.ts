import { expect, it } from 'vitest'
import type { CrashFacts } from '@baobabpost/fleet-calls'
import { createRegistryUnderTest, heartbeat, type RegistryUnderTest } from './registry-under-test.js'

const RETENTION_MILLISECONDS = 30_000
const CRASH = { id: 'agent-9/3', candidates: [{ task: '5c0e7a21d94b36f8.0.0.0', route: 'desk' }] }

function toldCrashes (agent: RegistryUnderTest): CrashFacts | undefined {
  return agent.watch().profile?.crashes
}

// Its agent and the entries that knew of it were replaced, and its task crashed further upstreams.
it('tells an entry that starts again a crash of another upstream, within its retention', () => {
  const agent = createRegistryUnderTest()
  agent.registry.handleHeartbeat(heartbeat(), agent.advance(1))
  agent.registry.answerCrashes({ crashes: [CRASH] }, agent.advance(1))
  expect(toldCrashes(agent)).toMatchObject({ crashes: [CRASH] })
  agent.advance(RETENTION_MILLISECONDS / 2)
  agent.registry.answerCrashes({ crashes: [CRASH] }, agent.advance(1))
  agent.advance(RETENTION_MILLISECONDS / 2)
  expect(toldCrashes(agent)).toBeUndefined()
})
