import { afterEach, beforeEach, expect, it, vi } from 'vitest'
import { silentLogger } from '@baobabpost/common'
import { ENTRY_LEASE_MILLISECONDS, type CallHandlers } from '@baobabpost/fleet-calls'
import { startAgentProgram } from '@baobabpost/runs'
import { heartbeat, TASK } from './registry-under-test.js'

/** Interval at which an agent with runs checks the leases of its entries. */
const TICK_MILLISECONDS = 40
/** Age of the order when it arrives. */
const ORDER_AGE_MILLISECONDS = 560

beforeEach(() => { vi.useFakeTimers() })
afterEach(() => { vi.useRealTimers() })

function pause (milliseconds: number): Promise<void> {
  return new Promise(resolve => { setTimeout(resolve, milliseconds) })
}

/** Returns the time from the end of the entry's lease to the first stop of its only run. */
async function lateness (idleMilliseconds: number): Promise<number> {
  const now = (): number => performance.now()
  const running: Array<{ task: string, run: number, percent: number }> = []
  let stoppedAt: number | undefined
  const agent = startAgentProgram({
    upstream: {
      start: ({ task, run }) => {
        running.push({ task, run, percent: 0 })
        return Promise.resolve({ outcome: 'taken', clock: now() })
      },
      stop: () => {
        stoppedAt ??= now()
        return Promise.resolve({ outcome: 'taken', clock: now() })
      },
      list: async (_order, timeout) => {
        await pause(Math.max(1, timeout - 60))
        return { outcome: 'taken', clock: now(), listing: { startedAt: 1_000, running: [...running], ended: [] } }
      }
    },
    incarnation: 'agent-1',
    fencingToken: 7,
    logger: silentLogger,
    now
  })
  agent.handleHeartbeat(heartbeat())
  await vi.advanceTimersByTimeAsync(idleMilliseconds)
  const heardAt = now() - ORDER_AGE_MILLISECONDS
  const start = agent.handlers.start as NonNullable<CallHandlers['start']>
  await start({
    caller: { entry: 'entry-1', incarnation: '1', heardAt, heardFrom: 'agent-1' },
    specification: '{}',
    priority: 0,
    patienceMilliseconds: 0,
    orders: [{
      task: TASK, run: 1, size: { processor: 1_000, memory: 64, accelerators: 0 }, estimateMilliseconds: 100
    }]
  }, { onLost: () => {} })
  await vi.advanceTimersByTimeAsync(400)
  const stopping = agent.stop(0)
  await vi.advanceTimersByTimeAsync(100)
  await stopping
  return (stoppedAt ?? Infinity) - heardAt - ENTRY_LEASE_MILLISECONDS
}

it.each([700, 730, 760, 790, 820, 850])(
  'an agent that was idle for %i ms stops the run of a late order within a tick of the end of its lease',
  async idleMilliseconds => {
    expect(await lateness(idleMilliseconds)).toBeLessThanOrEqual(TICK_MILLISECONDS)
  })
