/** A log in memory and folds on it, for tests with injected time. */
import { createInvariants } from '@baobabpost/common'
import type { LogEntry, LogRecord } from '@baobabpost/messages'
import { createRegisterProjection, type BadRecord, type LogBatch, type RegisterProjection, type WriteOutcome } from '@baobabpost/platform-log'

export const RETENTION_MILLISECONDS = 90_000

export interface FoldFixture {
  readonly fold: RegisterProjection
  readonly bad: BadRecord[]
  readonly outcomes: WriteOutcome[]
  readonly violations: string[]
}

export function createFoldFixture (): FoldFixture {
  const bad: BadRecord[] = []
  const outcomes: WriteOutcome[] = []
  const violations: string[] = []
  const fold = createRegisterProjection({
    retentionMilliseconds: RETENTION_MILLISECONDS,
    invariants: createInvariants((name, detail) => { violations.push(`${name}: ${detail}`) }),
    onBadRecord: record => { bad.push(record) },
    onOutcomes: told => { outcomes.push(...told) }
  })
  return { fold, bad, outcomes, violations }
}

export function entryOf (offset: number, changes: LogRecord['changes'], nonce = `nonce-${offset}`): LogEntry {
  return { offset, record: { author: 'test', nonce, changes } }
}

/** A read of the log from an offset on. */
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
