import { describe, expect, test } from 'vitest'
import { createEntryIdentity, type EntryIdentity } from '@baobabpost/common'
import type { RegisterWrite } from '@baobabpost/messages'
import {
  burnRegisterName, computeBurnReport, createBurnBucketStore,
  HOUR_MILLISECONDS, MINUTE_MILLISECONDS, type BurnBucketStore
} from '@baobabpost/burn-report'
import { ENTRY, LENDING, minuteBucket, NOON } from './burn-fixtures.js'

/** In-memory log that applies a write only if it replaces the register's current version. */
interface RegisterLog {
  addEntry: (identity: EntryIdentity) => BurnBucketStore
  append: (writes: readonly RegisterWrite[]) => void
  registerCount: () => number
}

function createRegisterLog (): RegisterLog {
  const versions = new Map<string, number>()
  const values = new Map<string, unknown>()
  const streams: BurnBucketStore[] = []
  let offset = 0
  return {
    addEntry (identity) {
      const stream = createBurnBucketStore({ identity, versionOf: register => versions.get(register) ?? 0 })
      for (const [register, value] of values) stream.applyRegister(register, value)
      streams.push(stream)
      return stream
    },
    append (writes) {
      offset += 1
      for (const { register, replaces, value } of writes) {
        if (replaces !== (versions.get(register) ?? 0)) continue
        versions.set(register, offset)
        values.set(register, value)
        if (value === null) values.delete(register)
        for (const stream of streams) stream.applyRegister(register, value)
      }
    },
    registerCount: () => values.size
  }
}

describe('burn bucket store', () => {
  test('an entry that joins later reads the buckets of the others', () => {
    const log = createRegisterLog()
    const first = log.addEntry(ENTRY)
    first.addOwnBuckets([minuteBucket(NOON, 9, 1)])
    log.append(first.nextWrites([ENTRY], NOON))
    expect(first.unwrittenCount()).toBe(0)
    expect(log.addEntry(createEntryIdentity('entry-2')).buckets()).toEqual(first.buckets())
  })

  test('buckets that could not be written during a log outage are written after it', () => {
    const log = createRegisterLog()
    const writer = log.addEntry(ENTRY)
    for (let index = 0; index < 5 * 60; index += 1) {
      writer.addOwnBuckets([minuteBucket(NOON + index * MINUTE_MILLISECONDS, 9, 1)])
      writer.nextWrites([ENTRY], NOON)
    }
    const end = NOON + 5 * HOUR_MILLISECONDS
    for (let append = 0; append < 20; append += 1) log.append(writer.nextWrites([ENTRY], end))
    expect(writer.unwrittenCount()).toBe(0)
    const reader = log.addEntry(createEntryIdentity('entry-2'))
    const report = computeBurnReport(
      { objectives: [LENDING], buckets: reader.buckets(), liveEntries: [ENTRY] }, end + 20_000
    )
    expect(report.objectives[0]?.alarms[1]?.windows[1]).toMatchObject({ good: 9 * 300, bad: 300 })
  })

  test('a write that is repeated after a lost acknowledgement has no effect', () => {
    const log = createRegisterLog()
    const writer = log.addEntry(ENTRY)
    writer.addOwnBuckets([minuteBucket(NOON, 9, 1)])
    const writes = writer.nextWrites([ENTRY], NOON)
    log.append(writes)
    log.append(writes)
    expect(writer.nextWrites([ENTRY], NOON)).toEqual([])
    expect(writer.buckets()).toHaveLength(1)
  })

  test('reusing register slots bounds the registers of an entry and loses no hour of the budget period', () => {
    const log = createRegisterLog()
    const writer = log.addEntry(ENTRY)
    for (let index = 0; index < 80 * 60; index += 1) {
      writer.addOwnBuckets([minuteBucket(NOON + index * MINUTE_MILLISECONDS, 9, 1)])
      log.append(writer.nextWrites([ENTRY], NOON + index * MINUTE_MILLISECONDS))
    }
    expect(log.registerCount()).toBe(120 + 73)
    const end = NOON + 80 * HOUR_MILLISECONDS
    const report = computeBurnReport(
      { objectives: [LENDING], buckets: writer.buckets(), liveEntries: [ENTRY] }, end + 20_000
    )
    expect(report.objectives[0]?.alarms[2]?.windows[0]).toMatchObject({ good: 9 * 72 * 60, bad: 72 * 60 })
  })

  test('only one entry removes the buckets of a departed entry, once they are older than the budget period', () => {
    const log = createRegisterLog()
    const departed = log.addEntry(ENTRY)
    departed.addOwnBuckets([minuteBucket(NOON, 9, 1)])
    log.append(departed.nextWrites([ENTRY], NOON))
    const liveEntries = [createEntryIdentity('entry-2'), createEntryIdentity('entry-3')]
    const [second, third] = liveEntries.map(identity => log.addEntry(identity))
    const afterRetention = NOON + 75 * HOUR_MILLISECONDS
    expect(third?.nextWrites(liveEntries, afterRetention)).toEqual([])
    expect(second?.nextWrites(liveEntries, NOON + 70 * HOUR_MILLISECONDS)).toEqual([])
    log.append(second?.nextWrites(liveEntries, afterRetention) ?? [])
    expect(log.registerCount()).toBe(0)
    expect(third?.buckets()).toEqual([])
  })

  test('a value that does not decode is ignored', () => {
    const stream = createRegisterLog().addEntry(ENTRY)
    stream.applyRegister(burnRegisterName(minuteBucket(NOON, 1, 0)), { entry: 7 })
    expect(stream.buckets()).toEqual([])
  })
})
