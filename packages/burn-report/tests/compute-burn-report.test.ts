import { describe, expect, test } from 'vitest'
import type { BurnReport, BurnWindow } from '@baobabpost/messages'
import { computeBurnReport, HOUR_MILLISECONDS, MINUTE_MILLISECONDS, renderBurnPage, renderBurnTable } from '@baobabpost/burn-report'
import { ENTRY, hourBucket, LENDING, minuteBucket, minutesBeforeNoon, NOON } from './burn-fixtures.js'

const NOW = NOON + 20_000

function windowOf (report: BurnReport, length: number): BurnWindow {
  const windows = report.objectives[0]?.alarms.flatMap(alarm => alarm.windows) ?? []
  const found = windows.find(window => window.lengthMilliseconds === length)
  if (found === undefined) throw new Error(`no window of ${length} ms`)
  return found
}

/** One entry, started two hours before: 570 good and 30 bad in its first hour, then 575 good and 25 bad, all late. */
const HAND_COMPUTED = {
  objectives: [LENDING],
  buckets: [hourBucket(NOON - 2 * HOUR_MILLISECONDS, 570, 30), ...minutesBeforeNoon(60)],
  liveEntries: [ENTRY]
}

describe('a case computed by hand', () => {
  const report = computeBurnReport(HAND_COMPUTED, NOW)

  test.each([
    [5 * MINUTE_MILLISECONDS, 25, 50, 5, 1],
    [30 * MINUTE_MILLISECONDS, 25, 300, 0.8333, 1],
    [HOUR_MILLISECONDS, 25, 600, 0.4167, 1],
    [6 * HOUR_MILLISECONDS, 55, 1_200, 0.4583, 2 / 6],
    [72 * HOUR_MILLISECONDS, 55, 1_200, 0.4583, 2 / 72]
  ])('over %d ms, %d bad of %d burn at %d', (length, bad, total, rate, coverage) => {
    const window = windowOf(report, length)
    expect(window.bad).toBe(bad)
    expect(window.good + window.bad).toBe(total)
    expect(window.burnRate).toBeCloseTo(rate, 4)
    expect(window.coverage).toBeCloseTo(coverage, 6)
  })

  test('leaves 54% of the budget, spent by late answers, and raises no alarm', () => {
    const burn = report.objectives[0]
    expect(burn?.budgetLeft).toBeCloseTo(1 - 55 / 1_200 / 0.1, 6)
    expect(burn?.spenders).toEqual([{ dimension: 'cause', name: 'late', bad: 55 }])
    expect(burn?.alarms.map(alarm => alarm.firing)).toEqual([false, false, false])
  })

  test('shows hours before the first entry as gaps and not as zeros', () => {
    const points = report.objectives[0]?.points ?? []
    expect(points).toHaveLength(72)
    expect(points.filter(point => point.good === undefined)).toHaveLength(70)
    expect(points.at(-1)).toMatchObject({ good: 575, bad: 25, coverage: 1 })
  })
})

describe('alarms', () => {
  test('are on only while the short and the long window both burn', () => {
    const strict = { ...LENDING, target: 0.999 }
    const burst = computeBurnReport({ ...HAND_COMPUTED, objectives: [strict] }, NOW).objectives[0]
    expect(burst?.alarms.map(alarm => [alarm.name, alarm.firing])).toEqual([['fast', true], ['slow', true], ['budget', true]])
    const over = computeBurnReport({ ...HAND_COMPUTED, objectives: [strict] }, NOW + 6 * MINUTE_MILLISECONDS).objectives[0]
    expect(over?.alarms.map(alarm => alarm.firing)).toEqual([false, true, true])
  })
})

describe('gaps', () => {
  test('a minute that never arrived lowers the coverage of its windows', () => {
    const buckets = minutesBeforeNoon(60).filter(bucket => bucket.start !== NOON - 3 * MINUTE_MILLISECONDS)
    const report = computeBurnReport({ ...HAND_COMPUTED, buckets }, NOW)
    expect(windowOf(report, 5 * MINUTE_MILLISECONDS).coverage).toBeCloseTo(4 / 5, 6)
    expect(renderBurnTable(report, { columns: 80, hasColours: false })).toMatch(/5\.0~/)
  })

  test('an entry that died without a planned stop leaves a gap of a minute; a planned stop leaves none', () => {
    const alone = minuteBucket(NOON - 5 * MINUTE_MILLISECONDS, 10, 0)
    const died = { ...alone, entryStartedAt: alone.start }
    const stopped = { ...died, entryStoppedAt: alone.start + MINUTE_MILLISECONDS }
    const survivor = minutesBeforeNoon(60).map(bucket => ({ ...bucket, entry: 'entry-2@0' as typeof ENTRY }))
    const coverage = (buckets: typeof survivor): number =>
      windowOf(computeBurnReport({ objectives: [LENDING], buckets, liveEntries: [] }, NOW), 5 * MINUTE_MILLISECONDS).coverage
    expect(coverage([...survivor, stopped])).toBe(1)
    expect(coverage([...survivor, died])).toBeCloseTo(6 / 7, 6)
  })

  test('without any bucket every figure is unknown', () => {
    const report = computeBurnReport({ objectives: [LENDING], buckets: [], liveEntries: [ENTRY] }, NOW)
    expect(report.objectives[0]?.budgetLeft).toBeUndefined()
    const nothing = { lengthMilliseconds: HOUR_MILLISECONDS, good: 0, bad: 0, coverage: 0 }
    expect(windowOf(report, HOUR_MILLISECONDS)).toEqual(nothing)
  })

  test('an hour counts once, whether it is written as an hour, as minutes or as both', () => {
    const start = NOON - HOUR_MILLISECONDS
    const both = computeBurnReport({ ...HAND_COMPUTED, buckets: [hourBucket(start, 575, 25), ...minutesBeforeNoon(60)] }, NOW)
    const minutes = computeBurnReport({ ...HAND_COMPUTED, buckets: minutesBeforeNoon(60) }, NOW)
    expect(windowOf(both, 6 * HOUR_MILLISECONDS)).toEqual(windowOf(minutes, 6 * HOUR_MILLISECONDS))
  })
})

describe('renderings', () => {
  const report = computeBurnReport(HAND_COMPUTED, NOW)

  test('the table fits 80 columns and has no colours unless asked for', () => {
    const spenders = Array.from({ length: 27 }, (_, place) =>
      ({ dimension: 'customer' as const, name: `neighbourhood-cooperative-${place}`, bad: 10_000 }))
    const crowded = { ...report, objectives: report.objectives.map(burn => ({ ...burn, spenders })) }
    const table = renderBurnTable(crowded, { columns: 80, hasColours: false })
    for (const line of table.split('\n')) expect(line.length, line).toBeLessThanOrEqual(80)
    expect(table).not.toContain('\u001b')
    expect(table).toContain('54%')
    expect(renderBurnTable(report, { columns: 80, hasColours: true })).toContain('\u001b[32m')
  })

  test('the page fetches nothing, draws a bar or a gap for every hour and escapes names', () => {
    const spenders = [{ dimension: 'upstream' as const, name: '<script>x', bad: 1 }]
    const page = renderBurnPage({ ...report, objectives: report.objectives.map(burn => ({ ...burn, spenders })) })
    expect(page).not.toMatch(/src=|href=|@import|https?:|<script/)
    expect(page.match(/<rect/g)).toHaveLength(72)
    expect(page.match(/class="gap"/g)).toHaveLength(70)
    expect(page).toContain('&lt;script&gt;x')
  })
})
