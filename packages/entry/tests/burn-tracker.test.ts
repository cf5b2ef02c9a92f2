import { describe, expect, test } from 'vitest'
import { ARRIVAL_GRACE_MILLISECONDS, MINUTE_MILLISECONDS } from '@baobabpost/burn-report'
import { createEntryIdentity, createInvariants } from '@baobabpost/common'
import type { BurnBucket, LogRecord } from '@baobabpost/messages'
import { createRegisterProjection } from '@baobabpost/platform-log'
import { createBurnAccounts } from '../src/burn-tracker.js'

const TICK_MILLISECONDS = 50
const MINUTES = 6

describe('burn accounts', () => {
  test.each([0, 1, 20_000, 37_421, 59_999])(
    'of an entry started %d ms into a minute write each minute before reports count on it', offset => {
      const startedAt = Date.UTC(2026, 11, 1, 12) + offset
      const firstWrites = new Map<number, number>()
      let now = startedAt
      // The log takes nothing in this test, so that buckets are written again and again; the first write counts.
      const append = (changes: LogRecord['changes']): void => {
        for (const { value } of changes) {
          const { start, lengthMilliseconds } = value as BurnBucket
          if (!firstWrites.has(start)) firstWrites.set(start, now - start - lengthMilliseconds)
        }
      }
      const accounts = createBurnAccounts({
        identity: createEntryIdentity('entry-1'),
        startedAt,
        fold: createRegisterProjection({
          retentionMilliseconds: 1e9,
          invariants: createInvariants(() => {}),
          onBadRecord: () => {},
          onOutcomes: () => {}
        }),
        outbox: { send: () => {}, append },
        objectives: () => [],
        presentEntries: () => []
      })
      while (now < startedAt + MINUTES * MINUTE_MILLISECONDS) {
        now += TICK_MILLISECONDS
        accounts.tick(now)
      }
      expect(firstWrites.size).toBeGreaterThanOrEqual(MINUTES - 1)
      for (const delay of firstWrites.values()) {
        expect(delay).toBeGreaterThanOrEqual(0)
        expect(delay).toBeLessThan(ARRIVAL_GRACE_MILLISECONDS)
      }
    })
})
