import { afterEach, beforeEach, expect, it, vi } from 'vitest'
import { silentLogger } from '@baobabpost/common'
import { startEntryProgram } from '@baobabpost/dispatching'
import { CallError, createFleetDirectory, type CallClient } from '@baobabpost/fleet-calls'

const AWAY_MILLISECONDS = 64_000

beforeEach(() => {
  vi.useFakeTimers({ toFake: ['setTimeout', 'clearTimeout', 'setImmediate', 'performance', 'Date'] })
})

afterEach(() => { vi.useRealTimers() })

// Guards against losing for good each agent that was without power for a minute: the entry stayed unready.
it('an agent that was forgotten is watched again once it announces itself at the same address', async () => {
  const now = (): number => performance.now()
  let watchCount = 0
  const client = {
    call: (_address: string, name: string) => {
      if (name === 'watch') watchCount += 1
      return Promise.reject(new CallError('unanswered', 'without power'))
    },
    close: () => {}
  } as unknown as CallClient
  const entry = startEntryProgram({
    entry: 'entry-1',
    incarnation: '1',
    failureDomain: 'domain-1',
    client,
    logger: silentLogger,
    now,
    onAgentForgotten: name => { directory.forgetAgent(name) }
  })
  const directory = createFleetDirectory({
    self: { name: 'entry-1', role: 'entry', address: '10.1.0.13:7720' },
    incarnation: '1',
    seeds: [],
    client,
    logger: silentLogger,
    now,
    onMember: ({ name, address }) => { entry.agentFound(name, address) },
    hasRecentContact: () => false
  })
  const announce = (): unknown =>
    directory.handleAnnounce({ member: { name: 'agent-1', role: 'agent', address: '10.1.0.14:7720' }, digest: 0 })
  announce()
  await vi.advanceTimersByTimeAsync(AWAY_MILLISECONDS)
  const watchCountWhenForgotten = watchCount
  await vi.advanceTimersByTimeAsync(5_000)
  expect(watchCount).toBe(watchCountWhenForgotten)
  announce()
  await vi.advanceTimersByTimeAsync(1_000)
  expect(watchCount).toBeGreaterThan(watchCountWhenForgotten)
  directory.close()
  entry.close()
})
