/** Measures what a configuration change costs: log bytes, time to apply it, memory, and bytes to forward it. */
import { createInvariants } from '@baobabpost/common'
import { createRegisterProjection, decodeLogRecord, encodeLogRecord, type LogBatch, type RegisterProjection } from '@baobabpost/platform-log'
import type { CostPoint } from '../fit-slope.js'
import { createMemoryLog, type MemoryLog } from '../memory-log.js'
import { measureHeapBytes, measureMicroseconds } from '../measure.js'
import type { ProbeResult } from '../probe.js'
import { createFirstWrite, createSampleCustomer } from '../sample-values.js'

const SIZES = [4_000, 8_000, 16_000, 32_000]
const RETENTION_MILLISECONDS = 86_400_000
const AUTHOR = 'entry-1@0198c0de-0000-7000-8000-000000000000'

function createProjection (): RegisterProjection {
  return createRegisterProjection({
    retentionMilliseconds: RETENTION_MILLISECONDS,
    invariants: createInvariants((invariant, detail) => { throw new Error(`${invariant}: ${detail}`) }),
    onBadRecord: bad => { throw new Error(`${bad.register ?? ''}: ${bad.fault}`) },
    onOutcomes: () => {}
  })
}

/** Creates a log with one record for each customer. */
function createCustomerLog (customers: number, now: number): MemoryLog {
  const log = createMemoryLog()
  for (let customerNumber = 0; customerNumber < customers; customerNumber += 1) {
    const { name } = createSampleCustomer(customerNumber)
    log.append(AUTHOR, [createFirstWrite(`customer/${name}`, createSampleCustomer(customerNumber))], now)
  }
  return log
}

/** Decodes records as a process does when it reads the log, and returns them as one batch. */
function decodeRecords (texts: readonly string[], now: number): LogBatch {
  const entries = texts.map((text, index) => ({ offset: index + 1, record: decodeLogRecord(text) }))
  return { entries, firstOffset: 1, nextOffset: texts.length + 1, readStartedAt: now, hasReachedEnd: true }
}

function measureChanges (changes: number): { apply: CostPoint, bytes: CostPoint, relay: CostPoint, memory: CostPoint } {
  const now = Date.now()
  const log = createCustomerLog(changes, now)
  const texts = log.read(1, now).entries.map(({ record }) => record === undefined ? '' : encodeLogRecord(record))
  const bytes = texts.reduce((sum, text) => sum + text.length, 0)
  const heapBefore = measureHeapBytes()
  const projection = createProjection()
  const applyMicroseconds = measureMicroseconds(() => { projection.apply(decodeRecords(texts, now), now) })
  const memory = measureHeapBytes() - heapBefore
  if (projection.list('customer').length !== changes) throw new Error(`not all ${changes} configuration changes were applied`)
  const relay = JSON.stringify(projection.changesSince(0, changes)).length
  return {
    apply: { size: changes, cost: applyMicroseconds },
    bytes: { size: changes, cost: bytes },
    relay: { size: changes, cost: relay },
    memory: { size: changes, cost: memory }
  }
}

/** Measures configuration changes, each of which writes a customer with one parameter. */
export function probeConfiguration (): Promise<readonly ProbeResult[]> {
  for (const size of SIZES) measureChanges(size)
  const measured = SIZES.map(measureChanges)
  return Promise.resolve([
    { per: 'configuration change', cost: 'microseconds to decode and apply at a process', points: measured.map(result => result.apply) },
    { per: 'configuration change', cost: 'bytes on the log', points: measured.map(result => result.bytes) },
    { per: 'configuration change', cost: 'bytes to pass it on to one process', points: measured.map(result => result.relay) },
    { per: 'register', cost: 'bytes of memory at a process', points: measured.map(result => result.memory) }
  ])
}
