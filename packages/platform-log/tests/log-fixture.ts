/** An in-memory log and projections of it, for tests that inject the time. */
import { createInvariants } from '@baobabpost/common'
import type { LogEntry, LogRecord } from '@baobabpost/messages'
import { createRegisterProjection, type BadRecord, type LogBatch, type RegisterProjection, type WriteOutcome } from '@baobabpost/platform-log'

export const RETENTION_MILLISECONDS = 90_000

export interface ProjectionFixture {
  readonly projection: RegisterProjection
  readonly badRecords: BadRecord[]
  readonly outcomes: WriteOutcome[]
  readonly violations: string[]
}

export function createProjectionFixture (): ProjectionFixture {
  const badRecords: BadRecord[] = []
  const outcomes: WriteOutcome[] = []
  const violations: string[] = []
  const projection = createRegisterProjection({
    retentionMilliseconds: RETENTION_MILLISECONDS,
    invariants: createInvariants((name, detail) => { violations.push(`${name}: ${detail}`) }),
    onBadRecord: record => { badRecords.push(record) },
    onOutcomes: reported => { outcomes.push(...reported) }
  })
  return { projection, badRecords, outcomes, violations }
}

export function entryOf (offset: number, changes: LogRecord['changes'], nonce = `nonce-${offset}`): LogEntry {
  return { offset, record: { author: 'test', nonce, changes } }
}

/** The batch of a read from offset `from` on, of a log whose oldest kept offset is `first`. */
export function batchOf (log: readonly LogEntry[], from: number, first = 1, limit = Infinity): LogBatch {
  const kept = log.filter(entry => entry.offset >= Math.max(from, first)).slice(0, limit)
  const next = log.length + 1
  const last = kept.at(-1)?.offset ?? Math.max(from, first) - 1
  return { entries: kept, firstOffset: first, nextOffset: next, readStartedAt: 0, hasReachedEnd: last + 1 >= next }
}

export function team (name: string, share = 1): unknown {
  return { name, share, maximumQueuedTasks: 100 }
}

export function agentRegistration (identity: string, state: 'joined' | 'departed' = 'joined'): unknown {
  return {
    identity, address: '127.0.0.1:1', service: 'lending', failureDomain: 'a', state, changedAt: 1, clean: false
  }
}
