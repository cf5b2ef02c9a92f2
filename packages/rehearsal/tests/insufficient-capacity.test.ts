import { beforeAll, describe, expect, it, vi } from 'vitest'
import { LatestStartAdmission, PatientAdmission, type Admission } from '@baobabpost/dispatching'
import { createFleet, runContendedWorkload, type ContendedLoad, type ContendedResult } from '@baobabpost/rehearsal'

const UPSTREAMS = 9
const CORES_PER_UPSTREAM = 64
const CAPACITY = { processor: 1_000 * CORES_PER_UPSTREAM, memory: 131_072, accelerators: 0 }
/** Usual load, to which a burst adds, as a share of the capacity. */
const USUAL_SHARE = 0.7
/** Long enough for a busy machine; no expectation depends on it. */
const RUN_TIMEOUT_MILLISECONDS = 120_000

const BURSTS: ReadonlyArray<readonly [string, Partial<ContendedLoad>]> = [
  ['a burst of one kind, 4 times its rate', { kindFactors: [1, 1, 4] }],
  ['a burst of one domain, 4 times its rate', { domainFactors: [4, 1, 1] }],
  ['a burst of large jobs, 4 times their rate', { largeFactor: 4 }]
]

/** Plays a load on a fleet of its own; the real timers at the end drop those of the fleet, which is not stopped. */
async function play (load: Partial<ContendedLoad>, admission: () => Admission): Promise<ContendedResult> {
  vi.useFakeTimers({
    toFake: ['setTimeout', 'clearTimeout', 'setInterval', 'clearInterval', 'setImmediate', 'performance', 'Date']
  })
  const fleet = createFleet({
    entries: 3,
    upstreams: Array.from({ length: UPSTREAMS }, () => ({ capacity: CAPACITY, speed: 1 })),
    failureDomains: 3,
    admission
  })
  const advance = (milliseconds: number): Promise<unknown> => vi.advanceTimersByTimeAsync(milliseconds)
  await advance(2_000)
  const result = await runContendedWorkload(
    fleet, UPSTREAMS * CORES_PER_UPSTREAM, { share: USUAL_SHARE, seconds: 3, advance, ...load })
  vi.useRealTimers()
  expect(fleet.runLog.violations).toEqual([])
  return result
}

/** Returns the lowest share over the mean of the shares. */
function lowestOverMean (shares: readonly number[]): number {
  return Math.min(...shares) / (shares.reduce((total, share) => total + share, 0) / shares.length)
}

describe.each(BURSTS)('a fleet with %s', (_, load) => {
  let result: ContendedResult
  let earlier: ContendedResult

  beforeAll(async () => {
    result = await play(load, () => new LatestStartAdmission())
    earlier = await play(load, () => new PatientAdmission())
  }, RUN_TIMEOUT_MILLISECONDS)

  // The earlier decisions let queues grow until jobs were late together, and spent capacity on late answers.
  it('serves more jobs in time than with the earlier decisions, and answers every caller', () => {
    expect(result.inTime).toBeGreaterThan(earlier.inTime)
    expect(result.unanswered).toBe(0)
  })

  // A job without capacity was refused only at its deadline, up to 9 objectives after its arrival.
  it('tells every failure before the objective of the job has passed', () => {
    expect(result.latestFailure).toBeLessThanOrEqual(1)
  })

  it('serves the lowest domain at least 0.85 times as often as the mean', () => {
    expect(lowestOverMean(result.domains)).toBeGreaterThanOrEqual(0.85)
  })

  it('serves the lowest kind at least 0.85 times as often as the mean', () => {
    expect(lowestOverMean(result.kinds)).toBeGreaterThanOrEqual(0.85)
  })

  it('serves the largest tenth and the fifth below it at least 0.8 times as often as their kind', () => {
    expect(Math.min(result.largestTenth, result.nextFifth)).toBeGreaterThanOrEqual(0.8)
  })
})

describe('a fleet without contention', () => {
  it('decides as before', async () => {
    const result = await play({}, () => new LatestStartAdmission())
    expect(result).toEqual(await play({}, () => new PatientAdmission()))
    expect(result.inTime).toBeGreaterThan(0.95)
  }, RUN_TIMEOUT_MILLISECONDS)
})
