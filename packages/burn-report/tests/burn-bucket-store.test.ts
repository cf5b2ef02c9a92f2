import { describe, expect, test } from 'vitest'
import { createEntryIdentity, type EntryIdentity } from '@baobabpost/common'
import type { RegisterWrite } from '@baobabpost/messages'
import {
  burnRegisterName, computeBurnReport, createBurnBucketStore, HOUR_MILLISECONDS, MINUTE_MILLISECONDS, type BurnBucketStore
} from '@baobabpost/burn-report'
import { ENTRY, LENDING, minuteBucket, NOON } from './burn-fixtures.js'

/** A log of registers that judges writes by the version that they replace. */
interface Registers {
  join: (identity: EntryIdentity) => BurnBucketStore
  append: (writes: readonly RegisterWrite[]) => void
  count: () => number
}

function createRegisters (): Registers {
  const versions = new Map<string, number>()
  const values = new Map<string, unknown>()
  const streams: BurnBucketStore[] = []
  let offset = 0
  return {
    join (identity) {
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
    count: () => values.size
  }
}

describe('burn stream', () => {
  test('an entry that joins later knows what the others wrote', () => {
    const log = createRegisters()
    const first = log.join(ENTRY)
    first.addOwnBuckets([minuteBucket(NOON, 9, 1)])
    log.append(first.nextWrites([ENTRY], NOON))
    expect(first.unwritten()).toBe(0)
    expect(log.join(createEntryIdentity('entry-2')).buckets()).toEqual(first.buckets())
  })

  test('an outage of the log loses nothing of a living entry: what was not taken is written afterwards', () => {
    const log = createRegisters()
    const writer = log.join(ENTRY)
    for (let place = 0; place < 5 * 60; place += 1) {
      writer.addOwnBuckets([minuteBucket(NOON + place * MINUTE_MILLISECONDS, 9, 1)])
      writer.nextWrites([ENTRY], NOON)
    }
    const end = NOON + 5 * HOUR_MILLISECONDS
    for (let append = 0; append < 20; append += 1) log.append(writer.nextWrites([ENTRY], end))
    expect(writer.unwritten()).toBe(0)
    const reader = log.join(createEntryIdentity('entry-2'))
    const report = computeBurnReport({ objectives: [LENDING], buckets: reader.buckets(), liveEntries: [ENTRY] }, end + 20_000)
    expect(report.objectives[0]?.alarms[1]?.windows[1]).toMatchObject({ good: 9 * 300, bad: 300 })
  })

  test('a write whose acknowledgement was lost is repeated without harm', () => {
    const log = createRegisters()
    const writer = log.join(ENTRY)
    writer.addOwnBuckets([minuteBucket(NOON, 9, 1)])
    const writes = writer.nextWrites([ENTRY], NOON)
    log.append(writes)
    log.append(writes)
    expect(writer.nextWrites([ENTRY], NOON)).toEqual([])
    expect(writer.buckets()).toHaveLength(1)
  })

  test('the number of registers of an entry stays bounded, and its slots never hide an hour', () => {
    const log = createRegisters()
    const writer = log.join(ENTRY)
    for (let place = 0; place < 80 * 60; place += 1) {
      writer.addOwnBuckets([minuteBucket(NOON + place * MINUTE_MILLISECONDS, 9, 1)])
      log.append(writer.nextWrites([ENTRY], NOON + place * MINUTE_MILLISECONDS))
    }
    expect(log.count()).toBe(120 + 73)
    const end = NOON + 80 * HOUR_MILLISECONDS
    const report = computeBurnReport({ objectives: [LENDING], buckets: writer.buckets(), liveEntries: [ENTRY] }, end + 20_000)
    expect(report.objectives[0]?.alarms[2]?.windows[0]).toMatchObject({ good: 9 * 72 * 60, bad: 72 * 60 })
  })

  test('what a departed entry left is removed once it is older than the budget period, by one entry only', () => {
    const log = createRegisters()
    const gone = log.join(ENTRY)
    gone.addOwnBuckets([minuteBucket(NOON, 9, 1)])
    log.append(gone.nextWrites([ENTRY], NOON))
    const present = [createEntryIdentity('entry-2'), createEntryIdentity('entry-3')]
    const [second, third] = present.map(identity => log.join(identity))
    const late = NOON + 75 * HOUR_MILLISECONDS
    expect(third?.nextWrites(present, late)).toEqual([])
    expect(second?.nextWrites(present, NOON + 70 * HOUR_MILLISECONDS)).toEqual([])
    log.append(second?.nextWrites(present, late) ?? [])
    expect(log.count()).toBe(0)
    expect(third?.buckets()).toEqual([])
  })

  test('a value that does not decode is left out', () => {
    const stream = createRegisters().join(ENTRY)
    stream.applyRegister(burnRegisterName(minuteBucket(NOON, 1, 0)), { entry: 7 })
    expect(stream.buckets()).toEqual([])
  })
})
