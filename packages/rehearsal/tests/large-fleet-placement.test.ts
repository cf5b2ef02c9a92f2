import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest'
import { silentLogger, type EventLogger, type LogFields } from '@baobabpost/common'
import { EarliestFinishPlacement, type Placement } from '@baobabpost/dispatching'
import { createFleet, runCounterWorkload, type WorkloadResult } from '@baobabpost/rehearsal'

const DOMAINS = 2
const ENTRIES = 8
const UPSTREAMS = 16
/** Speeds and capacities as at the lending counters' hundreds of upstreams; a task needs 6.2 cores. */
const KINDS = [
  { speed: 0.6, processor: 40_000 }, { speed: 1, processor: 40_000 }, { speed: 1.6, processor: 60_000 }
]
/** Jobs a second at which about six tenths of the capacity are in use. */
const USUAL_RATE = 93

interface PlacementResult extends WorkloadResult {
  /** Share of the orders that did not start for want of room or because the view was too old. */
  readonly returned: number
  /** Share of the orders that went to an upstream in another failure domain. */
  readonly remote: number
  readonly callsPerJob: number
}

interface OrderCounter {
  readonly logger: EventLogger
  sent: number
  remote: number
  returned: number
}

function domainOf (name: string): number {
  return Number(name.split('-')[1]) % DOMAINS
}

/** Counts orders from the entries' log lines. */
function createOrderCounter (): OrderCounter {
  const counter: OrderCounter = {
    sent: 0,
    remote: 0,
    returned: 0,
    logger: {
      ...silentLogger,
      info: (event, fields: LogFields = {}) => {
        if (event === 'task waits again' && /no-room|stale/.test(String(fields['reason']))) counter.returned += 1
        if (event !== 'job sent') return
        const tasks = Number(fields['tasks'])
        counter.sent += tasks
        if (domainOf(String(fields['agent'])) !== domainOf(String(fields['entry']))) counter.remote += tasks
      }
    }
  }
  return counter
}

async function runAtRate (jobsPerSecond: number, placement?: () => Placement): Promise<PlacementResult> {
  const counter = createOrderCounter()
  const fleet = createFleet({
    entries: ENTRIES,
    upstreams: Array.from({ length: UPSTREAMS }, (_, index) => {
      const { speed, processor } = KINDS[index % KINDS.length] ?? { speed: 1, processor: 40_000 }
      return { speed, capacity: { processor, memory: 131_072, accelerators: 0 } }
    }),
    failureDomains: DOMAINS,
    logger: counter.logger,
    ...(placement === undefined ? {} : { placement })
  })
  const advance = (milliseconds: number): Promise<unknown> => vi.advanceTimersByTimeAsync(milliseconds)
  await advance(2_000)
  const result = await runCounterWorkload(fleet, { jobsPerSecond, seconds: 2, settleMilliseconds: 2_500, advance })
  return {
    ...result,
    returned: counter.returned / counter.sent,
    remote: counter.remote / counter.sent,
    callsPerJob: (fleet.network.callCounts.get('start') ?? 0) / result.jobs
  }
}

beforeEach(() => {
  vi.useFakeTimers({
    toFake: ['setTimeout', 'clearTimeout', 'setInterval', 'clearInterval', 'setImmediate', 'performance', 'Date']
  })
})
afterEach(() => { vi.useRealTimers() })

/** Long enough for a busy machine; no expectation depends on it. */
const RUN_TIMEOUT_MILLISECONDS = 300_000

describe('eight entries in two failure domains', { timeout: RUN_TIMEOUT_MILLISECONDS }, () => {
  // Choosing the best upstream by views that are some 100 ms old sent the tasks of all entries to the same fast
  // upstreams: one order in four came back, and two of three went to another failure domain.
  it('send fewer orders that come back, and stay in their failure domain while it has room', async () => {
    const load = await runAtRate(USUAL_RATE)
    const earliest = await runAtRate(USUAL_RATE, () => new EarliestFinishPlacement())
    expect(load.violations).toEqual([])
    expect(load.inTime).toBeGreaterThanOrEqual(earliest.inTime)
    expect(load.returned).toBeLessThan(earliest.returned)
    expect(load.remote).toBeLessThan(0.25)
  })

  it('send at most one order in twenty that comes back on a calm day', async () => {
    expect((await runAtRate(USUAL_RATE)).returned).toBeLessThan(0.05)
  })
})
