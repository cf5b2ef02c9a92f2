/** Counts the answers of this entry against the objectives and exchanges the counts with the other entries. */
import {
  computeBurnReport, createBurnRecorder, createBurnBucketStore, floorTo, MINUTE_MILLISECONDS, type AnsweredRequest
} from '@baobabpost/burn-report'
import type { EntryIdentity } from '@baobabpost/common'
import { NEVER_WRITTEN_VERSION, type BurnReport, type Objective, type Outbox } from '@baobabpost/messages'
import type { RegisterChange, RegisterProjection } from '@baobabpost/platform-log'

const PUBLICATION_DELAY_MILLISECONDS = 500
const BURN_PREFIX = 'burn/'

/** What the accounts need. */
export interface BurnAccountsOptions {
  readonly identity: EntryIdentity
  readonly startedAt: number
  readonly fold: RegisterProjection
  readonly outbox: Outbox
  readonly objectives: () => readonly Objective[]
  /** Entries that are registered now. */
  readonly presentEntries: () => readonly EntryIdentity[]
}

/** The accounts of one entry. */
export interface BurnAccounts {
  record: (answer: AnsweredRequest, now: number) => void
  changed: (changes: readonly RegisterChange[]) => void
  tick: (now: number) => void
  /** Writes the open bucket early, at a planned stop. */
  close: (now: number) => void
  report: (now: number) => BurnReport
}

/** A moment after the end of the minute, so that its bucket reaches the others before their reports count on it. */
function nextPublication (now: number): number {
  return floorTo(now, MINUTE_MILLISECONDS) + MINUTE_MILLISECONDS + PUBLICATION_DELAY_MILLISECONDS
}

/** Makes the accounts of an entry. */
export function createBurnAccounts (options: BurnAccountsOptions): BurnAccounts {
  const { identity, startedAt, fold, outbox } = options
  const recorder = createBurnRecorder({ entry: identity, startedAt })
  const stream = createBurnBucketStore({
    identity, versionOf: register => fold.read(register)?.version ?? NEVER_WRITTEN_VERSION
  })
  let publishAt = nextPublication(startedAt)

  function publish (now: number): void {
    const changes = stream.nextWrites(options.presentEntries(), now)
    if (changes.length > 0) outbox.append(changes)
  }

  return {
    record: recorder.record,

    changed (changes) {
      if (changes.some(change => change.register.startsWith('objective/'))) recorder.setObjectives(options.objectives())
      for (const change of changes) {
        if (change.register.startsWith(BURN_PREFIX)) stream.applyRegister(change.register, change.value)
      }
    },

    tick (now) {
      if (now < publishAt) return
      publishAt = nextPublication(now)
      stream.addOwnBuckets(recorder.takeClosed(now))
      publish(now)
    },

    close (now) {
      stream.addOwnBuckets(recorder.close(now))
      publish(now)
    },

    report: now => computeBurnReport({
      objectives: options.objectives(), buckets: stream.buckets(), liveEntries: options.presentEntries()
    }, now)
  }
}
