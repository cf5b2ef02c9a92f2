import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest'
import { silentLogger } from '@baobabpost/common'
import { createFleetDirectory, type AnnounceAnswer, type Member } from '@baobabpost/fleet-calls'

const ENTRIES: Member[] = Array.from({ length: 35 }, (_, index) => (
  { name: `entry-${index + 1}`, role: 'entry', address: `10.2.0.${index + 1}:1` }
))

beforeEach(() => { vi.useFakeTimers({ toFake: ['setTimeout', 'clearTimeout', 'performance'] }) })
afterEach(() => { vi.useRealTimers() })

describe('the directory of an agent that all entries watch', () => {
  it('looks at them four times a second while the process starts, not twenty times', async () => {
    let lookCount = 0
    const directory = createFleetDirectory({
      self: { name: 'agent-1', role: 'agent', address: '10.1.0.1:1' },
      incarnation: '1',
      seeds: ENTRIES.slice(0, 3).map(({ address }) => address),
      client: {
        call: (): Promise<AnnounceAnswer> => Promise.resolve({ directory: '1', revision: 1, members: ENTRIES }),
        close: () => {}
      },
      logger: silentLogger,
      now: () => performance.now(),
      onMember: () => {},
      hasRecentContact: () => {
        lookCount += 1
        return true
      }
    })
    await vi.advanceTimersByTimeAsync(1_000)
    lookCount = 0
    await vi.advanceTimersByTimeAsync(5_000)
    directory.close()
    expect(lookCount / ENTRIES.length / 5).toBeLessThanOrEqual(4)
  })
})
