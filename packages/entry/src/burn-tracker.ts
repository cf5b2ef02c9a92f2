/** Counts the answers of this entry against the objectives and exchanges the counts with the other entries. */
import {
  computeBurnReport, createBurnRecorder, createBurnBucketStore, floorTo, MINUTE_MILLISECONDS, type AnsweredRequest
} from '@baobabpost/burn-report'
import type { EntryIdentity } from '@baobabpost/common'
import { NEVER_WRITTEN_VERSION, type BurnReport, type Objective, type Outbox } from '@baobabpost/messages'
import type { RegisterChange, RegisterProjection } from '@baobabpost/platform-log'

const PUBLICATION_DELAY_MILLISECONDS = 500
const BURN_REGISTER_PREFIX = 'burn/'

export interface BurnTrackerOptions {
  readonly identity: EntryIdentity
  readonly startedAt: number
  readonly projection: RegisterProjection
  readonly outbox: Outbox
  readonly objectives: () => readonly Objective[]
  /** Returns the live entries, including this one. */
  readonly liveEntries: () => readonly EntryIdentity[]
}

export interface BurnTracker {
  record: (answer: AnsweredRequest, now: number) => void
  applyChanges: (changes: readonly RegisterChange[]) => void
  tick: (now: number) => void
  /** Publishes the open bucket early, at a graceful shutdown. */
  close: (now: number) => void
  report: (now: number) => BurnReport
}

/**
 * Returns the time of the next publication: shortly after the end of the minute, so that the minute's bucket reaches
 * the other entries before their reports include it.
 */
function nextPublicationAt (now: number): number {
  return floorTo(now, MINUTE_MILLISECONDS) + MINUTE_MILLISECONDS + PUBLICATION_DELAY_MILLISECONDS
}

export function createBurnTracker (options: BurnTrackerOptions): BurnTracker {
  const { identity, startedAt, projection, outbox } = options
  const recorder = createBurnRecorder({ entry: identity, startedAt })
  const stream = createBurnBucketStore({
    identity, versionOf: register => projection.read(register)?.version ?? NEVER_WRITTEN_VERSION
  })
  let publishAt = nextPublicationAt(startedAt)

  function publish (now: number): void {
    const changes = stream.nextWrites(options.liveEntries(), now)
    if (changes.length > 0) outbox.append(changes)
  }

  return {
    record: recorder.record,

    applyChanges (changes) {
      if (changes.some(change => change.register.startsWith('objective/'))) recorder.setObjectives(options.objectives())
      for (const change of changes) {
        if (change.register.startsWith(BURN_REGISTER_PREFIX)) stream.applyRegister(change.register, change.value)
      }
    },

    tick (now) {
      if (now < publishAt) return
      publishAt = nextPublicationAt(now)
      stream.addOwnBuckets(recorder.takeClosed(now))
      publish(now)
    },

    close (now) {
      stream.addOwnBuckets(recorder.close(now))
      publish(now)
    },

    report: now => computeBurnReport({
      objectives: options.objectives(), buckets: stream.buckets(), liveEntries: options.liveEntries()
    }, now)
  }
}
