import { expect, it, vi } from 'vitest'
import { silentLogger } from '@baobabpost/common'
import { startAgentProgram, type ListAnswer } from '@baobabpost/runs'

// The loop ended with the first error: the agent lived on, but listed nothing and renewed no lease.
it('goes on listing after an error in the handling of one listing', async () => {
  const malformed = { outcome: 'taken', clock: 1, listing: { startedAt: 1, running: undefined, ended: [] } }
  const order = vi.fn(() => Promise.resolve({ outcome: 'unanswered' as const, clock: undefined }))
  const list = vi.fn(() => Promise.resolve(malformed as unknown as ListAnswer))
  const agent = startAgentProgram({
    upstream: { start: order, stop: order, list },
    incarnation: 'agent-1',
    fencingToken: 7,
    logger: silentLogger,
    now: () => performance.now()
  })
  await expect.poll(() => list.mock.calls.length).toBeGreaterThan(3)
  await agent.stop(0)
})
