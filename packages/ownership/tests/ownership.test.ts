import { PARTITION_COUNT } from '@baobabpost/common'
import { describe, expect, it } from 'vitest'
import type { OwnedPartition } from '../src/index.js'
import { agentIdentity, answerOf, collectsTo, type FakeEntry, RegisterLog, CLOCK_SKEW_MILLISECONDS, START } from './register-log.js'

const CLAIM_TIME = START + 600
const OWNER_LEASE_MILLISECONDS = 2_000
const NOT_RUN_LEASE_MILLISECONDS = 1_000

function ownedState (entry: FakeEntry, partition: number): OwnedPartition {
  const state = entry.ownership.partitionState(partition)
  if (state.kind !== 'ours') throw new Error(`partition ${partition} is of kind '${state.kind}', expected 'ours'`)
  return state
}

/** Creates two registered, live entries that own all partitions between them, and one agent. */
function createFleet (): { log: RegisterLog, first: FakeEntry, second: FakeEntry } {
  const log = new RegisterLog()
  const first = log.createEntry(1)
  const second = log.createEntry(2)
  log.registerEntry(first)
  log.registerEntry(second)
  log.setAgent(1, 'joined', START)
  log.live(START, first, second)
  for (const entry of [first, second]) log.readToEnd(entry, START)
  for (const entry of [first, second]) log.claim(entry, CLAIM_TIME)
  for (const entry of [first, second]) log.readToEnd(entry, CLAIM_TIME)
  return { log, first, second }
}

function partitionsOf (entry: FakeEntry): number[] {
  return Array.from({ length: PARTITION_COUNT }, (_, partition) => partition)
    .filter(partition => entry.ownership.partitionState(partition).kind === 'ours')
}

/** Removes the first entry and lets the second claim its partitions; returns one of them. */
function takeOver (log: RegisterLog, first: FakeEntry, second: FakeEntry, now: number): number {
  const [partition] = partitionsOf(first)
  log.set(`entry/${first.identity}`, null)
  log.readToEnd(second, now)
  second.ownership.setLiveEntries([second.identity], now)
  log.claim(second, now + 600)
  return partition!
}

describe('claims', () => {
  it('splits partitions that were never claimed between the entries, which serve them immediately', () => {
    const { first, second } = createFleet()
    expect(first.ownership.ownedCount() + second.ownership.ownedCount()).toBe(PARTITION_COUNT)
    expect(first.ownership.ownedCount()).toBeGreaterThan(60)
    expect(second.ownership.ownedCount()).toBeGreaterThan(60)
    const [partition] = partitionsOf(first)
    expect(ownedState(first, partition!)).toMatchObject({ phase: 'serving', unaccounted: 0, uncertainBefore: 0 })
    expect(collectsTo(first, 1)).toHaveLength(0)
  })

  it('gives partitions that two entries claim to the one whose claim is first in the log', () => {
    const log = new RegisterLog()
    const first = log.createEntry(1)
    const second = log.createEntry(2)
    log.registerEntry(first)
    log.registerEntry(second)
    for (const entry of [first, second]) log.readToEnd(entry, START)
    for (const entry of [first, second]) entry.ownership.tick(CLAIM_TIME)
    for (const entry of [second, first]) log.takeAppends(entry)
    for (const entry of [first, second]) log.readToEnd(entry, CLAIM_TIME)
    expect(second.ownership.ownedCount()).toBe(PARTITION_COUNT)
    expect(first.ownership.ownedCount()).toBe(0)
  })

  it('repeats a claim whose acknowledgement was lost; the second append changes nothing', () => {
    const { log, first, second } = createFleet()
    const now = CLAIM_TIME + 10_000
    log.set(`entry/${first.identity}`, null)
    log.readToEnd(second, now)
    second.ownership.setLiveEntries([second.identity], now)
    second.ownership.tick(now + 600)
    log.takeAppends(second)
    second.ownership.tick(now + 700)
    expect(second.appends).toHaveLength(0)
    second.ownership.tick(now + 1_200)
    expect(second.appends).toHaveLength(1)
    const epochAfterFirst = log.offset
    log.takeAppends(second)
    log.readToEnd(second, now + 1_300)
    expect(second.ownership.ownedCount()).toBe(PARTITION_COUNT)
    const [taken] = partitionsOf(second).filter(partition => ownedState(second, partition).phase === 'collecting')
    expect(ownedState(second, taken!).epoch).toBe(epochAfterFirst)
  })

  it('claims no partition of a live owner, and none before it is registered itself', () => {
    const { log, first, second } = createFleet()
    const unregistered = log.createEntry(3, CLAIM_TIME)
    log.readToEnd(unregistered, CLAIM_TIME)
    unregistered.ownership.setLiveEntries([unregistered.identity], CLAIM_TIME)
    unregistered.ownership.tick(CLAIM_TIME + 60_000)
    expect(unregistered.appends).toHaveLength(0)
    first.ownership.tick(CLAIM_TIME + 60_000)
    second.ownership.tick(CLAIM_TIME + 60_000)
    expect([...first.appends, ...second.appends]).toHaveLength(0)
  })
})

describe('takeover', () => {
  it('serves only after every agent that was registered before the claim has sent its complete answer', () => {
    const { log, first, second } = createFleet()
    log.setAgent(2, 'joined', CLAIM_TIME)
    const partition = takeOver(log, first, second, CLAIM_TIME + 5_000)
    const now = CLAIM_TIME + 5_700
    expect(ownedState(second, partition)).toMatchObject({ phase: 'collecting', unaccounted: 2 })
    expect(second.ownership.dispatchEpoch(partition, now)).toBeUndefined()
    second.ownership.collected(agentIdentity(1), answerOf(second, 1), now)
    expect(ownedState(second, partition)).toMatchObject({ phase: 'collecting', unaccounted: 1 })
    const answer = answerOf(second, 2)
    second.ownership.collected(agentIdentity(2), { ...answer, parts: 2, part: 1 }, now)
    second.ownership.collected(agentIdentity(2), { ...answer, parts: 2, part: 1 }, now)
    expect(ownedState(second, partition).phase).toBe('collecting')
    second.ownership.collected(agentIdentity(2), { ...answer, parts: 2, part: 0 }, now)
    // The former owner may still declare tasks as not run.
    second.ownership.tick(CLAIM_TIME + 5_600 + NOT_RUN_LEASE_MILLISECONDS - 1)
    expect(ownedState(second, partition).phase).toBe('collecting')
    const later = CLAIM_TIME + 5_600 + NOT_RUN_LEASE_MILLISECONDS
    second.ownership.tick(later)
    expect(ownedState(second, partition)).toMatchObject({ phase: 'serving', unaccounted: 0, uncertainBefore: 0 })
    expect(second.ownership.dispatchEpoch(partition, later)).toBe(ownedState(second, partition).epoch)
  })

  it('resends the collect until it is answered, at growing intervals', () => {
    const { log, first, second } = createFleet()
    takeOver(log, first, second, CLAIM_TIME + 5_000)
    for (let now = CLAIM_TIME + 5_600; now < CLAIM_TIME + 8_500; now += 50) second.ownership.tick(now)
    expect(collectsTo(second, 1).length).toBeGreaterThanOrEqual(4)
    expect(collectsTo(second, 1).length).toBeLessThanOrEqual(6)
  })

  it('does not accept an answer for another epoch, or one that leaves partitions out', () => {
    const { log, first, second } = createFleet()
    const partition = takeOver(log, first, second, CLAIM_TIME + 5_000)
    const answer = answerOf(second, 1)
    const now = CLAIM_TIME + 5_700
    const older = answer.partitions.map(({ partition, epoch }) => ({ partition, epoch: epoch - 1 }))
    second.ownership.collected(agentIdentity(1), { ...answer, partitions: older }, now)
    second.ownership.collected(agentIdentity(1), { ...answer, partitions: answer.partitions.slice(1) }, now)
    expect(ownedState(second, partition).unaccounted).toBe(1)
  })

  it('serves after the collect timeout, with keys that may have run at the unanswered agent as uncertain', () => {
    const { log, first, second } = createFleet()
    const partition = takeOver(log, first, second, CLAIM_TIME + 5_000)
    const claimedAt = CLAIM_TIME + 5_600
    second.ownership.tick(claimedAt + 2_999)
    expect(ownedState(second, partition).phase).toBe('collecting')
    second.ownership.tick(claimedAt + 3_000)
    // The dead owner has no majority without the second entry, so it is fenced once the second has read the claim.
    expect(ownedState(second, partition)).toMatchObject({
      phase: 'serving', unaccounted: 1, uncertainBefore: claimedAt + OWNER_LEASE_MILLISECONDS + 2 * CLOCK_SKEW_MILLISECONDS
    })
  })

  it('treats keys as new from when every majority has the claim, plus the owner lease and twice the clock skew', () => {
    const log = new RegisterLog()
    const entries = [1, 2, 3].map(number => log.createEntry(number))
    for (const entry of entries) log.registerEntry(entry)
    log.setAgent(1, 'joined', START)
    log.live(START, ...entries)
    for (const entry of entries) log.readToEnd(entry, START)
    for (const entry of entries) log.claim(entry, CLAIM_TIME)
    for (const entry of entries) log.readToEnd(entry, CLAIM_TIME)
    const [first, second, third] = entries as [FakeEntry, FakeEntry, FakeEntry]
    const [partition] = partitionsOf(first)
    const now = CLAIM_TIME + 5_000
    log.live(now, second, third)
    for (const time of [now + 600, now + 1_700]) {
      log.claim(second, time)
      log.claim(third, time)
    }
    for (const entry of [second, third]) log.readToEnd(entry, now + 1_800)
    const owner = second.ownership.partitionState(partition!).kind === 'ours' ? second : third
    const other = owner === second ? third : second
    owner.ownership.tick(now + 6_000)
    expect(ownedState(owner, partition!)).toMatchObject({ phase: 'serving', unaccounted: 1, uncertainBefore: Infinity })
    owner.ownership.peerPositionReported(other.identity, ownedState(owner, partition!).epoch - 1, now + 6_100)
    expect(ownedState(owner, partition!).uncertainBefore).toBe(Infinity)
    owner.ownership.peerPositionReported(other.identity, ownedState(owner, partition!).epoch, now + 6_200)
    expect(ownedState(owner, partition!).uncertainBefore)
      .toBe(now + 6_200 + OWNER_LEASE_MILLISECONDS + 2 * CLOCK_SKEW_MILLISECONDS)
  })

  it('waits beyond the collect timeout while a former owner that was fenced late may still declare tasks as not run', () => {
    const log = new RegisterLog()
    const entries = [1, 2, 3].map(number => log.createEntry(number))
    const [first, second, third] = entries as [FakeEntry, FakeEntry, FakeEntry]
    for (const entry of entries) log.registerEntry(entry)
    log.setAgent(1, 'joined', START)
    for (const entry of entries) log.readToEnd(entry, START)
    log.live(START, first)
    log.claim(first, CLAIM_TIME)
    log.readToEnd(second, CLAIM_TIME)
    const claimedAt = CLAIM_TIME + 5_000
    second.ownership.setLiveEntries([second.identity], claimedAt - 1_200)
    log.claim(second, claimedAt - 600)
    log.claim(second, claimedAt)
    const [partition] = partitionsOf(second)
    const { epoch } = ownedState(second, partition!)
    second.ownership.peerPositionReported(third.identity, epoch, claimedAt + 2_500)
    second.ownership.tick(claimedAt + 2_500 + NOT_RUN_LEASE_MILLISECONDS - 1)
    expect(ownedState(second, partition!).phase).toBe('collecting')
    second.ownership.tick(claimedAt + 2_500 + NOT_RUN_LEASE_MILLISECONDS)
    expect(ownedState(second, partition!).phase).toBe('serving')
  })

  it('treats keys made before the departure of an agent as uncertain, even if it shut down gracefully', () => {
    const { log, first, second } = createFleet()
    const departedAt = CLAIM_TIME + 1_000
    log.setAgent(1, 'departed', departedAt, true)
    const partition = takeOver(log, first, second, CLAIM_TIME + 5_000)
    second.ownership.tick(CLAIM_TIME + 5_600 + NOT_RUN_LEASE_MILLISECONDS)
    expect(ownedState(second, partition)).toMatchObject({
      phase: 'serving', unaccounted: 0, uncertainBefore: departedAt + 2 * CLOCK_SKEW_MILLISECONDS
    })
  })

  it('stops waiting for the answer of an agent that departs', () => {
    const { log, first, second } = createFleet()
    const partition = takeOver(log, first, second, CLAIM_TIME + 5_000)
    log.setAgent(1, 'departed', CLAIM_TIME + 6_000, true)
    log.readToEnd(second, CLAIM_TIME + 6_000)
    second.ownership.tick(CLAIM_TIME + 5_600 + NOT_RUN_LEASE_MILLISECONDS)
    expect(ownedState(second, partition)).toMatchObject({
      phase: 'serving', unaccounted: 0, uncertainBefore: CLAIM_TIME + 6_000 + 2 * CLOCK_SKEW_MILLISECONDS
    })
  })
})

describe('a former owner that is alive', () => {
  it('sends a handover once it reads the claim, from which the next owner serves', () => {
    const { log, first, second } = createFleet()
    const partition = takeOver(log, first, second, CLAIM_TIME + 5_000)
    expect(ownedState(second, partition).phase).toBe('collecting')
    log.readToEnd(first, CLAIM_TIME + 5_700)
    const { to, message } = first.sent.find(({ message }) => message.method === 'handover')!
    if (message.method !== 'handover') throw new Error('expected a handover message')
    expect(to).toBe(second.identity)
    second.ownership.handover(first.identity, message.parameters, CLAIM_TIME + 5_710)
    expect(second.imported.map(({ partition }) => partition)).toContain(partition)
    expect(ownedState(second, partition)).toMatchObject({ phase: 'serving', unaccounted: 0 })
  })

  it('has its handover ignored if partitions are missing, as has any entry that is not the previous owner', () => {
    const { log, first, second } = createFleet()
    const partition = takeOver(log, first, second, CLAIM_TIME + 5_000)
    log.readToEnd(first, CLAIM_TIME + 5_700)
    const { message } = first.sent.find(({ message }) => message.method === 'handover')!
    if (message.method !== 'handover') throw new Error('expected a handover message')
    const otherEntry = log.createEntry(3)
    second.ownership.handover(otherEntry.identity, message.parameters, CLAIM_TIME + 5_710)
    const partitions = message.parameters.partitions.slice(1)
    second.ownership.handover(first.identity, { ...message.parameters, partitions }, CLAIM_TIME + 5_710)
    expect(second.imported).toHaveLength(0)
    expect(ownedState(second, partition).phase).toBe('collecting')
  })
})

describe('owner lease', () => {
  it('holds for its duration from the start of the last read that reached the end of the log', () => {
    const log = new RegisterLog()
    const entry = log.createEntry(1)
    const other = log.createEntry(2)
    log.registerEntry(entry)
    log.registerEntry(other)
    log.readToEnd(entry, START)
    entry.ownership.logReadToEnd(START + 100, START + 900)
    expect(entry.ownership.leaseEnd(START + 900)).toBe(START + 100 + OWNER_LEASE_MILLISECONDS)
    expect(entry.ownership.mayDispatch(START + 100 + OWNER_LEASE_MILLISECONDS - 1)).toBe(true)
    expect(entry.ownership.mayDispatch(START + 100 + OWNER_LEASE_MILLISECONDS)).toBe(false)
  })

  it('is renewed without the log only by a majority of heartbeat answers, from the time at which they were sent', () => {
    const log = new RegisterLog()
    const [entry, second, third] = [1, 2, 3, 4].map(number => {
      const created = log.createEntry(number)
      log.registerEntry(created)
      return created
    }) as [FakeEntry, FakeEntry, FakeEntry]
    log.readToEnd(entry, START)
    const now = START + 10_000
    entry.ownership.heartbeatAnswered(second.identity, now, log.offset, now + 10)
    expect(entry.ownership.mayDispatch(now + 20)).toBe(false)
    entry.ownership.heartbeatAnswered(third.identity, now - 500, log.offset, now + 10)
    expect(entry.ownership.mayDispatch(now + 20)).toBe(true)
    expect(entry.ownership.leaseEnd(now + 20)).toBe(now - 500 + OWNER_LEASE_MILLISECONDS)
  })

  it('permits declaring tasks as not run for a shorter time than dispatching', () => {
    const log = new RegisterLog()
    const entry = log.createEntry(1)
    log.registerEntry(log.createEntry(2))
    log.registerEntry(entry)
    log.readToEnd(entry, START)
    expect(entry.ownership.mayDeclareNotRun(START + NOT_RUN_LEASE_MILLISECONDS - 1)).toBe(true)
    expect(entry.ownership.mayDeclareNotRun(START + NOT_RUN_LEASE_MILLISECONDS)).toBe(false)
    expect(entry.ownership.mayDispatch(START + NOT_RUN_LEASE_MILLISECONDS)).toBe(true)
  })

  it('ends when the time of day is set back, until a read or a majority of answers confirms it after that', () => {
    const log = new RegisterLog()
    const entry = log.createEntry(1)
    const other = log.createEntry(2)
    log.registerEntry(entry)
    log.registerEntry(other)
    log.readToEnd(entry, START)
    entry.ownership.heartbeatAnswered(other.identity, START, log.offset, START)
    entry.ownership.tick(START)
    const setBack = START - 60_000
    entry.ownership.tick(setBack)
    expect([entry.ownership.mayDispatch(setBack), entry.ownership.mayDeclareNotRun(setBack)]).toEqual([false, false])
    entry.ownership.heartbeatAnswered(other.identity, START - 10, log.offset, setBack + 10)
    entry.ownership.logReadToEnd(START - 10, setBack + 10)
    expect(entry.ownership.mayDispatch(setBack + 10)).toBe(false)
    entry.ownership.logReadToEnd(setBack + 20, setBack + 30)
    expect(entry.ownership.leaseEnd(setBack + 30)).toBe(setBack + 20 + OWNER_LEASE_MILLISECONDS)
    entry.ownership.heartbeatAnswered(other.identity, setBack + 40, log.offset, setBack + 50)
    expect(entry.ownership.leaseEnd(setBack + 50)).toBe(setBack + 40 + OWNER_LEASE_MILLISECONDS)
  })

  it('is not renewed by the answer of an entry that has applied more of the log', () => {
    const log = new RegisterLog()
    const entry = log.createEntry(1)
    const other = log.createEntry(2)
    log.registerEntry(entry)
    log.registerEntry(other)
    log.readToEnd(entry, START)
    const now = START + 10_000
    entry.ownership.heartbeatAnswered(other.identity, now, log.offset + 1, now)
    expect(entry.ownership.mayDispatch(now)).toBe(false)
  })

  it('is not renewed by a majority if the entry itself is no longer registered', () => {
    const { log, first, second } = createFleet()
    log.set(`entry/${first.identity}`, null)
    log.readToEnd(first, CLAIM_TIME)
    const now = CLAIM_TIME + 10_000
    first.ownership.heartbeatAnswered(second.identity, now, log.offset, now)
    expect(first.ownership.mayDispatch(now)).toBe(false)
  })
})

describe('planned moves', () => {
  function joinThird (): { log: RegisterLog, entries: [FakeEntry, FakeEntry, FakeEntry], now: number } {
    const { log, first, second } = createFleet()
    const now = CLAIM_TIME + 5_000
    const third = log.createEntry(3, now)
    log.registerEntry(third)
    log.live(now, first, second, third)
    for (const entry of [first, second, third]) log.readToEnd(entry, now)
    return { log, entries: [first, second, third], now }
  }

  it('a new entry gets its share of the partitions by handover and claims none of a live owner', () => {
    const { log, entries: [first, second, third], now } = joinThird()
    third.ownership.tick(now + 600)
    expect(third.appends).toHaveLength(0)
    for (const entry of [first, second]) log.claim(entry, now + 600)
    log.readToEnd(third, now + 650)
    expect(third.ownership.ownedCount()).toBeGreaterThan(40)
    expect(first.exported.length + second.exported.length).toBe(third.ownership.ownedCount())
  })

  it('the next owner waits for the handover, serves from it and acknowledges it', () => {
    const { log, entries: [first, , third], now } = joinThird()
    log.claim(first, now + 600)
    log.readToEnd(third, now + 610)
    const [partition] = first.exported
    expect(ownedState(third, partition!).phase).toBe('collecting')
    const handover = first.sent.find(({ message }) => message.method === 'handover')!
    expect(handover.to).toBe(third.identity)
    if (handover.message.method !== 'handover') throw new Error('expected a handover message')
    third.ownership.handover(first.identity, handover.message.parameters, now + 620)
    expect(ownedState(third, partition!)).toMatchObject({ phase: 'serving', unaccounted: 0, uncertainBefore: 0 })
    expect(third.imported.map(({ partition }) => partition)).toEqual(first.exported)
    const taken = third.sent.find(({ message }) => message.method === 'handoverTaken')!
    if (taken.message.method !== 'handoverTaken') throw new Error('expected a handoverTaken message')
    first.ownership.handoverTaken(third.identity, taken.message.parameters, now + 630)
    first.sent.length = 0
    first.ownership.tick(now + 5_000)
    expect(first.sent.filter(({ message }) => message.method === 'handover')).toHaveLength(0)
  })

  it('keeps uncertainBefore of each partition that is handed over', () => {
    const { log, entries: [first, , third], now } = joinThird()
    log.claim(first, now + 600)
    log.readToEnd(third, now + 610)
    const { message } = first.sent.find(({ message }) => message.method === 'handover')!
    if (message.method !== 'handover') throw new Error('expected a handover message')
    const [uncertain, certain] = first.exported as [number, number]
    const partitions = message.parameters.partitions.map(handed => ({
      ...handed, uncertainBefore: handed.partition === uncertain ? now : 0
    }))
    third.ownership.handover(first.identity, { ...message.parameters, partitions }, now + 620)
    expect(ownedState(third, uncertain).uncertainBefore).toBe(now)
    expect(ownedState(third, certain).uncertainBefore).toBe(0)
  })

  it('keeps a handover that arrives before the next owner has read the change of ownership', () => {
    const { log, entries: [first, , third], now } = joinThird()
    log.claim(first, now + 600)
    const { message } = first.sent.find(({ message }) => message.method === 'handover')!
    if (message.method !== 'handover') throw new Error('expected a handover message')
    third.ownership.handover(first.identity, message.parameters, now + 605)
    expect(third.sent.filter(({ message }) => message.method === 'handoverTaken')).toHaveLength(0)
    log.readToEnd(third, now + 650)
    expect(ownedState(third, first.exported[0]!).phase).toBe('serving')
  })

  it('serves from the records of agents if the handover does not arrive', () => {
    const { log, entries: [first, , third], now } = joinThird()
    log.claim(first, now + 600)
    log.readToEnd(third, now + 610)
    third.ownership.collected(agentIdentity(1), answerOf(third, 1), now + 700)
    const [partition] = first.exported
    expect(ownedState(third, partition!).phase).toBe('collecting')
    third.ownership.tick(now + 610 + 3_000)
    expect(ownedState(third, partition!)).toMatchObject({ phase: 'serving', unaccounted: 0 })
  })

  it('a stopping entry hands every partition over and returns how many remain', () => {
    const { log, first, second } = createFleet()
    const now = CLAIM_TIME + 5_000
    expect(first.ownership.stop(now).remainingPartitions).toBe(first.ownership.ownedCount())
    for (let round = 0; round < 6; round += 1) {
      log.claim(first, now + 600 * (round + 1))
      log.readToEnd(second, now + 600 * (round + 1))
      for (const { message } of first.sent.splice(0)) {
        if (message.method === 'handover') second.ownership.handover(first.identity, message.parameters, now)
      }
      for (const { message } of second.sent.splice(0)) {
        if (message.method === 'handoverTaken') first.ownership.handoverTaken(second.identity, message.parameters, now)
      }
    }
    expect(second.ownership.ownedCount()).toBe(PARTITION_COUNT)
    expect(first.ownership.stop(now).remainingPartitions).toBe(0)
  })
})
