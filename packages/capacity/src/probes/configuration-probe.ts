/** What a change of configuration and a customer cost: on the log, when it is applied, in memory, and on the way on. */
import { createInvariants } from '@baobabpost/common'
import { createRegisterProjection, decodeLogRecord, encodeLogRecord, type LogBatch, type RegisterProjection } from '@baobabpost/platform-log'
import type { Point } from '../fit-slope.js'
import { createMemoryLog, type MemoryLog } from '../memory-log.js'
import { heapBytes, microsecondsOf } from '../measure.js'
import type { ProbeResult } from '../probe.js'
import { firstWrite, sampleCustomer } from '../sample-values.js'

const SIZES = [4_000, 8_000, 16_000, 32_000]
const RETENTION_MILLISECONDS = 86_400_000
const AUTHOR = 'entry-1@0198c0de-0000-7000-8000-000000000000'

function createFold (): RegisterProjection {
  return createRegisterProjection({
    retentionMilliseconds: RETENTION_MILLISECONDS,
    invariants: createInvariants((invariant, detail) => { throw new Error(`${invariant}: ${detail}`) }),
    onBadRecord: bad => { throw new Error(`${bad.register ?? ''}: ${bad.fault}`) },
    onOutcomes: () => {}
  })
}

/** A log with one record a customer. */
function createCustomerLog (customers: number, now: number): MemoryLog {
  const log = createMemoryLog()
  for (let place = 0; place < customers; place += 1) {
    const { name } = sampleCustomer(place)
    log.append(AUTHOR, [firstWrite(`customer/${name}`, sampleCustomer(place))], now)
  }
  return log
}

/** Decodes records as a process does when it reads the log. */
function readBack (texts: readonly string[], now: number): LogBatch {
  const entries = texts.map((text, place) => ({ offset: place + 1, record: decodeLogRecord(text) }))
  return { entries, firstOffset: 1, nextOffset: texts.length + 1, readStartedAt: now, hasReachedEnd: true }
}

function measureChanges (changes: number): { apply: Point, bytes: Point, relay: Point, memory: Point } {
  const now = Date.now()
  const log = createCustomerLog(changes, now)
  const texts = log.read(1, now).entries.map(({ record }) => record === undefined ? '' : encodeLogRecord(record))
  const bytes = texts.reduce((sum, text) => sum + text.length, 0)
  const heapBefore = heapBytes()
  const fold = createFold()
  const applied = microsecondsOf(() => { fold.apply(readBack(texts, now), now) })
  const memory = heapBytes() - heapBefore
  if (fold.list('customer').length !== changes) throw new Error('not every change was applied')
  const relay = JSON.stringify(fold.changesSince(0, changes)).length
  return {
    apply: { size: changes, cost: applied },
    bytes: { size: changes, cost: bytes },
    relay: { size: changes, cost: relay },
    memory: { size: changes, cost: memory }
  }
}

/** Measures changes of configuration; the value is a customer with one parameter. */
export function probeConfiguration (): Promise<readonly ProbeResult[]> {
  for (const size of SIZES) measureChanges(size)
  const measured = SIZES.map(measureChanges)
  return Promise.resolve([
    { per: 'configuration change', cost: 'microseconds to decode and apply at a process', points: measured.map(part => part.apply) },
    { per: 'configuration change', cost: 'bytes on the log', points: measured.map(part => part.bytes) },
    { per: 'configuration change', cost: 'bytes to pass it on to one process', points: measured.map(part => part.relay) },
    { per: 'register', cost: 'bytes of memory at a process', points: measured.map(part => part.memory) }
  ])
}
