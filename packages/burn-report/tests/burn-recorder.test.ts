import { describe, expect, test } from 'vitest'
import fc from 'fast-check'
import type { ErrorKind } from '@baobabpost/common'
import { createBurnRecorder, mergeBuckets, MAXIMUM_CLOSED_BUCKETS, MINUTE_MILLISECONDS } from '@baobabpost/burn-report'
import { ENTRY, LENDING, NOON } from './burn-fixtures.js'

const MEDINA_WHOLE = { ...LENDING, name: 'medina-whole', customer: 'medina', indicator: 'whole' as const }
const ANSWER = { service: 'lending', customer: 'medina', responseMilliseconds: 80 }

function createRecorder (): ReturnType<typeof createBurnRecorder> {
  const recorder = createBurnRecorder({ entry: ENTRY, startedAt: NOON })
  recorder.setObjectives([LENDING, MEDINA_WHOLE])
  return recorder
}

describe('burn recorder', () => {
  test('counts each answer against every objective of its service and customer', () => {
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

  test('does not count errors that the caller caused', () => {
    const recorder = createRecorder()
    const kinds: ErrorKind[] = ['malformed-request', 'forbidden', 'key-conflict', 'not-run-invalid', 'too-large']
    for (const errorKind of kinds) recorder.record({ ...ANSWER, errorKind }, NOON)
    expect(recorder.takeClosed(NOON + MINUTE_MILLISECONDS)[0]?.series).toEqual([])
  })

  test('returns an empty bucket for an idle minute and none for minutes in which the process was paused', () => {
    const recorder = createRecorder()
    expect(recorder.takeClosed(NOON + MINUTE_MILLISECONDS)).toHaveLength(1)
    const buckets = recorder.takeClosed(NOON + 6 * MINUTE_MILLISECONDS)
    expect(buckets.map(bucket => bucket.start - NOON)).toEqual([MINUTE_MILLISECONDS])
  })

  test('records the time of a graceful shutdown in the last bucket', () => {
    const [bucket] = createRecorder().close(NOON + 20_000)
    expect(bucket).toMatchObject({ entryStoppedAt: NOON + 20_000, coveredMilliseconds: 20_000 })
  })

  test('keeps a bounded number of buckets and of customer names, and counts every bad answer', () => {
    const recorder = createRecorder()
    for (let index = 0; index < 500; index += 1) {
      recorder.record({ ...ANSWER, customer: `customer-${index}`, errorKind: 'internal' }, NOON)
    }
    for (let minute = 1; minute < 300; minute += 1) recorder.record(ANSWER, NOON + minute * MINUTE_MILLISECONDS)
    const namesRecorder = createRecorder()
    for (let index = 0; index < 500; index += 1) {
      namesRecorder.record({ ...ANSWER, customer: `customer-${index}`, errorKind: 'internal' }, NOON)
    }
    const spenders = namesRecorder.takeClosed(NOON + MINUTE_MILLISECONDS)[0]?.series[0]?.spenders ?? []
    const customers = spenders.filter(spender => spender.dimension === 'customer')
    expect(customers.length).toBeLessThanOrEqual(9)
    expect(customers.reduce((sum, spender) => sum + spender.bad, 0)).toBe(500)
    expect(recorder.takeClosed(NOON + 300 * MINUTE_MILLISECONDS)).toHaveLength(MAXIMUM_CLOSED_BUCKETS)
  })

  test('merging two buckets gives the same series as recording all answers in one', () => {
    fc.assert(fc.property(fc.array(fc.integer({ min: 1, max: 5_000 }), { minLength: 1 }), fc.nat(), (times, split) => {
      const singleRecorder = createRecorder()
      const splitRecorder = createRecorder()
      for (const [index, responseMilliseconds] of times.entries()) {
        singleRecorder.record({ ...ANSWER, responseMilliseconds }, NOON)
        const minute = index < split % times.length ? 0 : MINUTE_MILLISECONDS
        splitRecorder.record({ ...ANSWER, responseMilliseconds }, NOON + minute)
      }
      const [expected] = singleRecorder.takeClosed(NOON + MINUTE_MILLISECONDS)
      const [first, ...others] = splitRecorder.takeClosed(NOON + 2 * MINUTE_MILLISECONDS)
      if (first === undefined) throw new Error('no bucket was closed')
      expect(mergeBuckets([first, ...others], NOON, MINUTE_MILLISECONDS).series).toEqual(expected?.series)
    }), { numRuns: 50 })
  })
})
