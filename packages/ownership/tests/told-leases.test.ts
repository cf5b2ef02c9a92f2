import { expect, it } from 'vitest'
import { PARTITION_COUNT } from '@baobabpost/common'
import type { OwnerLeases } from '@baobabpost/messages'
import { CLOCK_SKEW_MILLISECONDS, type FakeEntry, RegisterLog, START } from './register-log.js'

const SHORT: OwnerLeases = { ownerMilliseconds: 900, notRunMilliseconds: 400 }
const USUAL: OwnerLeases = { ownerMilliseconds: 2_000, notRunMilliseconds: 1_000 }
const LONG: OwnerLeases = { ownerMilliseconds: 4_000, notRunMilliseconds: 2_500 }
const CLAIMED_AT = START + 5_600

interface Takeover {
  readonly former: FakeEntry
  readonly next: FakeEntry
  readonly partition: number
}

/** Lets an entry take over a partition of another that keeps other leases and has lost the log at `CLAIMED_AT`. */
function takeOver (formerLeases: OwnerLeases, nextLeases: OwnerLeases, told: unknown): Takeover {
  const log = new RegisterLog()
  const former = log.createEntry(1, START, formerLeases)
  const next = log.createEntry(2, START, nextLeases)
  log.registerEntry(former, told)
  log.registerEntry(next, nextLeases)
  log.setAgent(1, 'joined', START)
  log.live(START, former, next)
  for (const entry of [former, next]) log.readToEnd(entry, START)
  for (const entry of [former, next]) log.claim(entry, START + 600)
  log.readToEnd(former, START + 600)
  const partition = Array.from({ length: PARTITION_COUNT }, (_, number) => number)
    .find(number => former.ownership.partitionState(number).kind === 'ours')!
  former.ownership.logReadToEnd(CLAIMED_AT, CLAIMED_AT)
  log.set(`entry/${former.identity}`, null)
  log.readToEnd(next, START + 5_000)
  next.ownership.setLiveEntries([next.identity], START + 5_000)
  log.claim(next, CLAIMED_AT)
  return { former, next, partition }
}

it.each([
  ['a former owner with longer leases', LONG, USUAL, LONG],
  ['a former owner with shorter leases', USUAL, LONG, USUAL],
  ['a former owner of a build that tells none', USUAL, SHORT, undefined],
  ['a former owner whose leases do not decode', USUAL, SHORT, { ownerMilliseconds: 'long' }]
] as const)('counts no key as new and serves nothing while %s may still act', (_, formerLeases, nextLeases, told) => {
  const { former, next, partition } = takeOver(formerLeases, nextLeases, told)
  const mayDispatchUntil = former.ownership.leaseEnd(CLAIMED_AT)
  for (let now = CLAIMED_AT; now < CLAIMED_AT + 12_000; now += 100) {
    next.ownership.tick(now)
    const state = next.ownership.partitionState(partition)
    if (state.kind !== 'ours') throw new Error(`partition is of kind '${state.kind}', expected 'ours'`)
    expect(state.uncertainBefore).toBeGreaterThanOrEqual(mayDispatchUntil + 2 * CLOCK_SKEW_MILLISECONDS)
    if (former.ownership.mayDeclareNotRun(now)) expect(state.phase).toBe('collecting')
  }
})
