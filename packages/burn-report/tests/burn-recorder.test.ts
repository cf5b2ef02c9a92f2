import { describe, expect, test } from 'vitest'
import fc from 'fast-check'
import type { ErrorKind } from '@baobabpost/common'
import { createBurnRecorder, mergeBuckets, MAXIMUM_CLOSED_BUCKETS, MINUTE_MILLISECONDS } from '@baobabpost/burn-report'
import { ENTRY, LENDING, NOON } from './burn-fixtures.js'

const WHOLE = { ...LENDING, name: 'medina-whole', customer: 'medina', indicator: 'whole' as const }
const ANSWER = { service: 'lending', customer: 'medina', responseMilliseconds: 80 }

function createRecorder (): ReturnType<typeof createBurnRecorder> {
  const recorder = createBurnRecorder({ entry: ENTRY, startedAt: NOON })
  recorder.setObjectives([LENDING, WHOLE])
  return recorder
}

describe('burn recorder', () => {
  test('judges each answer by every objective of its service and customer', () => {
    const recorder = createRecorder()
    recorder.record(ANSWER, NOON)
    recorder.record({ ...ANSWER, responseMilliseconds: 1_001, upstream: 'agent-1' }, NOON + 1)
    recorder.record({ ...ANSWER, customer: 'pikine', errorKind: 'not-run' }, NOON + 2)
    recorder.record({ ...ANSWER, service: 'filing' }, NOON + 3)
    const [bucket] = recorder.takeClosed(NOON + MINUTE_MILLISECONDS)
    expect(bucket?.coveredMilliseconds).toBe(MINUTE_MILLISECONDS)
    expect(bucket?.series.find(it => it.objective === 'lending-response')).toMatchObject({
      good: 1,
      bad: 2,
      spenders: [
        { dimension: 'cause', name: 'late', bad: 1 },
        { dimension: 'cause', name: 'not-run', bad: 1 },
        { dimension: 'upstream', name: 'agent-1', bad: 1 },
        { dimension: 'customer', name: 'medina', bad: 1 },
        { dimension: 'customer', name: 'pikine', bad: 1 }
      ]
    })
    expect(bucket?.series.find(it => it.objective === 'medina-whole')).toMatchObject({ good: 2, bad: 0 })
  })

  test('counts no error that the caller caused', () => {
    const recorder = createRecorder()
    const kinds: ErrorKind[] = ['malformed-request', 'forbidden', 'key-conflict', 'not-run-invalid', 'too-large']
    for (const errorKind of kinds) recorder.record({ ...ANSWER, errorKind }, NOON)
    expect(recorder.takeClosed(NOON + MINUTE_MILLISECONDS)[0]?.series).toEqual([])
  })

  test('writes an empty bucket for an idle minute and none for minutes in which the process was paused', () => {
    const recorder = createRecorder()
    expect(recorder.takeClosed(NOON + MINUTE_MILLISECONDS)).toHaveLength(1)
    const buckets = recorder.takeClosed(NOON + 6 * MINUTE_MILLISECONDS)
    expect(buckets.map(bucket => bucket.start - NOON)).toEqual([MINUTE_MILLISECONDS])
  })

  test('says at a planned stop when it stopped', () => {
    const [bucket] = createRecorder().close(NOON + 20_000)
    expect(bucket).toMatchObject({ entryStoppedAt: NOON + 20_000, coveredMilliseconds: 20_000 })
  })

  test('keeps a bounded number of buckets and of names, without losing a count', () => {
    const recorder = createRecorder()
    for (let place = 0; place < 500; place += 1) {
      recorder.record({ ...ANSWER, customer: `customer-${place}`, errorKind: 'internal' }, NOON)
    }
    for (let minute = 1; minute < 300; minute += 1) recorder.record(ANSWER, NOON + minute * MINUTE_MILLISECONDS)
    const first = createRecorder()
    for (let place = 0; place < 500; place += 1) {
      first.record({ ...ANSWER, customer: `customer-${place}`, errorKind: 'internal' }, NOON)
    }
    const spenders = first.takeClosed(NOON + MINUTE_MILLISECONDS)[0]?.series[0]?.spenders ?? []
    const customers = spenders.filter(spender => spender.dimension === 'customer')
    expect(customers.length).toBeLessThanOrEqual(9)
    expect(customers.reduce((sum, spender) => sum + spender.bad, 0)).toBe(500)
    expect(recorder.takeClosed(NOON + 300 * MINUTE_MILLISECONDS)).toHaveLength(MAXIMUM_CLOSED_BUCKETS)
  })

  test('merged buckets hold what one bucket would have held', () => {
    fc.assert(fc.property(fc.array(fc.integer({ min: 1, max: 5_000 }), { minLength: 1 }), fc.nat(), (times, split) => {
      const whole = createRecorder()
      const parted = createRecorder()
      for (const [place, responseMilliseconds] of times.entries()) {
        whole.record({ ...ANSWER, responseMilliseconds }, NOON)
        const minute = place < split % times.length ? 0 : MINUTE_MILLISECONDS
        parted.record({ ...ANSWER, responseMilliseconds }, NOON + minute)
      }
      const [expected] = whole.takeClosed(NOON + MINUTE_MILLISECONDS)
      const [first, ...others] = parted.takeClosed(NOON + 2 * MINUTE_MILLISECONDS)
      if (first === undefined) throw new Error('no bucket was closed')
      expect(mergeBuckets([first, ...others], NOON, MINUTE_MILLISECONDS).series).toEqual(expected?.series)
    }), { numRuns: 50 })
  })
})
