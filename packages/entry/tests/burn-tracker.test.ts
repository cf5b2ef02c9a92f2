import { describe, expect, test } from 'vitest'
import { ARRIVAL_GRACE_MILLISECONDS, MINUTE_MILLISECONDS } from '@baobabpost/burn-report'
import { createEntryIdentity, createInvariants } from '@baobabpost/common'
import type { BurnBucket, LogRecord } from '@baobabpost/messages'
import { createRegisterProjection } from '@baobabpost/platform-log'
import { createBurnTracker } from '../src/burn-tracker.js'

const TICK_MILLISECONDS = 50
const MINUTES = 6

describe('burn tracker', () => {
  test.each([0, 1, 20_000, 37_421, 59_999])(
    'of an entry started %d ms into a minute publishes each minute before reports include it', offset => {
      const startedAt = Date.UTC(2026, 11, 1, 12) + offset
      const firstWriteDelays = new Map<number, number>()
      let now = startedAt
      // The log applies no append in this test, so buckets are published repeatedly; only the first write counts.
      const append = (changes: LogRecord['changes']): void => {
        for (const { value } of changes) {
          const { start, lengthMilliseconds } = value as BurnBucket
          if (!firstWriteDelays.has(start)) firstWriteDelays.set(start, now - start - lengthMilliseconds)
        }
      }
      const tracker = createBurnTracker({
        identity: createEntryIdentity('entry-1'),
        startedAt,
        projection: createRegisterProjection({
          retentionMilliseconds: 1e9,
          invariants: createInvariants(() => {}),
          onBadRecord: () => {},
          onOutcomes: () => {}
        }),
        outbox: { send: () => {}, append },
        objectives: () => [],
        liveEntries: () => []
      })
      while (now < startedAt + MINUTES * MINUTE_MILLISECONDS) {
        now += TICK_MILLISECONDS
        tracker.tick(now)
      }
      expect(firstWriteDelays.size).toBeGreaterThanOrEqual(MINUTES - 1)
      for (const delay of firstWriteDelays.values()) {
        expect(delay).toBeGreaterThanOrEqual(0)
        expect(delay).toBeLessThan(ARRIVAL_GRACE_MILLISECONDS)
      }
    })
})
