import { PARTITION_COUNT } from '@baobabpost/common'
import { describe, expect, it } from 'vitest'
import type { PartitionOfOurs } from '../src/index.js'
import { agentIdentity, answerOf, collectsTo, type FakeEntry, RegisterLog, SKEW, START } from './register-log.js'

const LATER = START + 600
const LEASE = 2_000
const VERDICT_LEASE = 1_000

function ours (entry: FakeEntry, partition: number): PartitionOfOurs {
  const state = entry.ownership.partitionState(partition)
  if (state.kind !== 'ours') throw new Error(`partition ${partition} is ${state.kind}`)
  return state
}

/** Two registered entries that live and hold all partitions, and one agent. */
function createFleet (): { log: RegisterLog, first: FakeEntry, second: FakeEntry } {
  const log = new RegisterLog()
  const first = log.createEntry(1)
  const second = log.createEntry(2)
  log.registerEntry(first)
  log.registerEntry(second)
  log.setAgent(1, 'joined', START)
  log.live(START, first, second)
  for (const entry of [first, second]) log.readToEnd(entry, START)
  for (const entry of [first, second]) log.claim(entry, LATER)
  for (const entry of [first, second]) log.readToEnd(entry, LATER)
  return { log, first, second }
}

function partitionsOf (entry: FakeEntry): number[] {
  return Array.from({ length: PARTITION_COUNT }, (_, partition) => partition)
    .filter(partition => entry.ownership.partitionState(partition).kind === 'ours')
}

/** The first entry dies; the second claims what it held. Gives one of the partitions taken over. */
function takeOver (log: RegisterLog, first: FakeEntry, second: FakeEntry, now: number): number {
  const [partition] = partitionsOf(first)
  log.set(`entry/${first.identity}`, null)
  log.readToEnd(second, now)
  second.ownership.setLiveEntries([second.identity], now)
  log.claim(second, now + 600)
  return partition!
}

describe('claims', () => {
  it('shares partitions that were never claimed and serves them at once', () => {
    const { first, second } = createFleet()
    expect(first.ownership.ownedCount() + second.ownership.ownedCount()).toBe(PARTITION_COUNT)
    expect(first.ownership.ownedCount()).toBeGreaterThan(60)
    expect(second.ownership.ownedCount()).toBeGreaterThan(60)
    const [partition] = partitionsOf(first)
    expect(ours(first, partition!)).toMatchObject({ phase: 'serving', unaccounted: 0, uncertainBefore: 0 })
    expect(collectsTo(first, 1)).toHaveLength(0)
  })

  it('lets the log decide when two entries claim the same partitions', () => {
    const log = new RegisterLog()
    const first = log.createEntry(1)
    const second = log.createEntry(2)
    log.registerEntry(first)
    log.registerEntry(second)
    for (const entry of [first, second]) log.readToEnd(entry, START)
    for (const entry of [first, second]) entry.ownership.tick(LATER)
    for (const entry of [second, first]) log.takeAppends(entry)
    for (const entry of [first, second]) log.readToEnd(entry, LATER)
    expect(second.ownership.ownedCount()).toBe(PARTITION_COUNT)
    expect(first.ownership.ownedCount()).toBe(0)
  })

  it('settles a lost acknowledgement by reading: the repeated append changes nothing', () => {
    const { log, first, second } = createFleet()
    const now = LATER + 10_000
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
    const [taken] = partitionsOf(second).filter(partition => ours(second, partition).phase === 'collecting')
    expect(ours(second, taken!).epoch).toBe(epochAfterFirst)
  })

  it('claims nothing from a living owner, and nothing before it is registered itself', () => {
    const { log, first, second } = createFleet()
    const stranger = log.createEntry(3, LATER)
    log.readToEnd(stranger, LATER)
    stranger.ownership.setLiveEntries([stranger.identity], LATER)
    stranger.ownership.tick(LATER + 60_000)
    expect(stranger.appends).toHaveLength(0)
    first.ownership.tick(LATER + 60_000)
    second.ownership.tick(LATER + 60_000)
    expect([...first.appends, ...second.appends]).toHaveLength(0)
  })
})

describe('takeover', () => {
  it('serves only after every agent that was registered below the claim has answered whole', () => {
    const { log, first, second } = createFleet()
    log.setAgent(2, 'joined', LATER)
    const partition = takeOver(log, first, second, LATER + 5_000)
    const now = LATER + 5_700
    expect(ours(second, partition)).toMatchObject({ phase: 'collecting', unaccounted: 2 })
    expect(second.ownership.dispatchEpoch(partition, now)).toBeUndefined()
    second.ownership.collected(agentIdentity(1), answerOf(second, 1), now)
    expect(ours(second, partition)).toMatchObject({ phase: 'collecting', unaccounted: 1 })
    const answer = answerOf(second, 2)
    second.ownership.collected(agentIdentity(2), { ...answer, parts: 2, part: 1 }, now)
    second.ownership.collected(agentIdentity(2), { ...answer, parts: 2, part: 1 }, now)
    expect(ours(second, partition).phase).toBe('collecting')
    second.ownership.collected(agentIdentity(2), { ...answer, parts: 2, part: 0 }, now)
    // The former owner may still tell callers that tasks did not run.
    second.ownership.tick(LATER + 5_600 + VERDICT_LEASE - 1)
    expect(ours(second, partition).phase).toBe('collecting')
    const later = LATER + 5_600 + VERDICT_LEASE
    second.ownership.tick(later)
    expect(ours(second, partition)).toMatchObject({ phase: 'serving', unaccounted: 0, uncertainBefore: 0 })
    expect(second.ownership.dispatchEpoch(partition, later)).toBe(ours(second, partition).epoch)
  })

  it('repeats the question until it is answered, ever more slowly', () => {
    const { log, first, second } = createFleet()
    takeOver(log, first, second, LATER + 5_000)
    for (let now = LATER + 5_600; now < LATER + 8_500; now += 50) second.ownership.tick(now)
    expect(collectsTo(second, 1).length).toBeGreaterThanOrEqual(4)
    expect(collectsTo(second, 1).length).toBeLessThanOrEqual(6)
  })

  it('does not take an answer of another epoch, or one that leaves partitions out, for an account', () => {
    const { log, first, second } = createFleet()
    const partition = takeOver(log, first, second, LATER + 5_000)
    const answer = answerOf(second, 1)
    const now = LATER + 5_700
    const older = answer.partitions.map(({ partition, epoch }) => ({ partition, epoch: epoch - 1 }))
    second.ownership.collected(agentIdentity(1), { ...answer, partitions: older }, now)
    second.ownership.collected(agentIdentity(1), { ...answer, partitions: answer.partitions.slice(1) }, now)
    expect(ours(second, partition).unaccounted).toBe(1)
  })

  it('after the bound serves what can be decided: nothing that may have been seen counts as new', () => {
    const { log, first, second } = createFleet()
    const partition = takeOver(log, first, second, LATER + 5_000)
    const claimedAt = LATER + 5_600
    second.ownership.tick(claimedAt + 2_999)
    expect(ours(second, partition).phase).toBe('collecting')
    second.ownership.tick(claimedAt + 3_000)
    // The dead owner had no majority without the second entry, so that the claim itself fences it.
    expect(ours(second, partition)).toMatchObject({
      phase: 'serving', unaccounted: 1, uncertainBefore: claimedAt + LEASE + 2 * SKEW
    })
  })

  it('takes keys as new once every majority has read the claim and leases and clocks are allowed for', () => {
    const log = new RegisterLog()
    const entries = [1, 2, 3].map(number => log.createEntry(number))
    for (const entry of entries) log.registerEntry(entry)
    log.setAgent(1, 'joined', START)
    log.live(START, ...entries)
    for (const entry of entries) log.readToEnd(entry, START)
    for (const entry of entries) log.claim(entry, LATER)
    for (const entry of entries) log.readToEnd(entry, LATER)
    const [first, second, third] = entries as [FakeEntry, FakeEntry, FakeEntry]
    const [partition] = partitionsOf(first)
    const now = LATER + 5_000
    log.live(now, second, third)
    for (const time of [now + 600, now + 1_700]) {
      log.claim(second, time)
      log.claim(third, time)
    }
    for (const entry of [second, third]) log.readToEnd(entry, now + 1_800)
    const owner = second.ownership.partitionState(partition!).kind === 'ours' ? second : third
    const other = owner === second ? third : second
    owner.ownership.tick(now + 6_000)
    expect(ours(owner, partition!)).toMatchObject({ phase: 'serving', unaccounted: 1, uncertainBefore: Infinity })
    owner.ownership.peerPositionReported(other.identity, ours(owner, partition!).epoch - 1, now + 6_100)
    expect(ours(owner, partition!).uncertainBefore).toBe(Infinity)
    owner.ownership.peerPositionReported(other.identity, ours(owner, partition!).epoch, now + 6_200)
    expect(ours(owner, partition!).uncertainBefore).toBe(now + 6_200 + LEASE + 2 * SKEW)
  })

  it('counts keys of the time of a departed agent as uncertain, also where it departed clean', () => {
    const { log, first, second } = createFleet()
    const departedAt = LATER + 1_000
    log.setAgent(1, 'departed', departedAt, true)
    const partition = takeOver(log, first, second, LATER + 5_000)
    second.ownership.tick(LATER + 5_600 + VERDICT_LEASE)
    expect(ours(second, partition)).toMatchObject({
      phase: 'serving', unaccounted: 0, uncertainBefore: departedAt + 2 * SKEW
    })
  })

  it('an agent that departs while its answer is awaited is no longer awaited', () => {
    const { log, first, second } = createFleet()
    const partition = takeOver(log, first, second, LATER + 5_000)
    log.setAgent(1, 'departed', LATER + 6_000, true)
    log.readToEnd(second, LATER + 6_000)
    second.ownership.tick(LATER + 5_600 + VERDICT_LEASE)
    expect(ours(second, partition)).toMatchObject({
      phase: 'serving', unaccounted: 0, uncertainBefore: LATER + 6_000 + 2 * SKEW
    })
  })
})

describe('a former owner that lives', () => {
  it('tells what it knows once it reads the claim, and the next owner serves from that', () => {
    const { log, first, second } = createFleet()
    const partition = takeOver(log, first, second, LATER + 5_000)
    expect(ours(second, partition).phase).toBe('collecting')
    log.readToEnd(first, LATER + 5_700)
    const { to, message } = first.sent.find(({ message }) => message.method === 'handover')!
    if (message.method !== 'handover') throw new Error('no handover')
    expect(to).toBe(second.identity)
    second.ownership.handover(first.identity, message.parameters, LATER + 5_710)
    expect(second.imported.map(({ partition }) => partition)).toContain(partition)
    expect(ours(second, partition)).toMatchObject({ phase: 'serving', unaccounted: 0 })
  })

  it('is not believed where it knows only a part, or where it is not the owner just before', () => {
    const { log, first, second } = createFleet()
    const partition = takeOver(log, first, second, LATER + 5_000)
    log.readToEnd(first, LATER + 5_700)
    const { message } = first.sent.find(({ message }) => message.method === 'handover')!
    if (message.method !== 'handover') throw new Error('no handover')
    const stranger = log.createEntry(3)
    second.ownership.handover(stranger.identity, message.parameters, LATER + 5_710)
    const partitions = message.parameters.partitions.slice(1)
    second.ownership.handover(first.identity, { ...message.parameters, partitions }, LATER + 5_710)
    expect(second.imported).toHaveLength(0)
    expect(ours(second, partition).phase).toBe('collecting')
  })
})

describe('owner lease', () => {
  it('holds for its time after a read to the end of the log, counted from the start of the read', () => {
    const log = new RegisterLog()
    const entry = log.createEntry(1)
    const other = log.createEntry(2)
    log.registerEntry(entry)
    log.registerEntry(other)
    log.readToEnd(entry, START)
    entry.ownership.logReadToEnd(START + 100, START + 900)
    expect(entry.ownership.leaseEnd(START + 900)).toBe(START + 100 + LEASE)
    expect(entry.ownership.mayDispatch(START + 100 + LEASE - 1)).toBe(true)
    expect(entry.ownership.mayDispatch(START + 100 + LEASE)).toBe(false)
  })

  it('is renewed without the log by a majority, counted from the sending, and not by a minority', () => {
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
    expect(entry.ownership.leaseEnd(now + 20)).toBe(now - 500 + LEASE)
  })

  it('allows to judge that a task did not run for a shorter time than to dispatch', () => {
    const log = new RegisterLog()
    const entry = log.createEntry(1)
    log.registerEntry(log.createEntry(2))
    log.registerEntry(entry)
    log.readToEnd(entry, START)
    expect(entry.ownership.mayDeclareNotRun(START + VERDICT_LEASE - 1)).toBe(true)
    expect(entry.ownership.mayDeclareNotRun(START + VERDICT_LEASE)).toBe(false)
    expect(entry.ownership.mayDispatch(START + VERDICT_LEASE)).toBe(true)
  })

  it('is not renewed by an answer from an entry that has read more of the log', () => {
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

  it('an entry that was removed from the registers holds no lease by majority', () => {
    const { log, first, second } = createFleet()
    log.set(`entry/${first.identity}`, null)
    log.readToEnd(first, LATER)
    const now = LATER + 10_000
    first.ownership.heartbeatAnswered(second.identity, now, log.offset, now)
    expect(first.ownership.mayDispatch(now)).toBe(false)
  })
})

describe('planned moves', () => {
  function joinThird (): { log: RegisterLog, entries: [FakeEntry, FakeEntry, FakeEntry], now: number } {
    const { log, first, second } = createFleet()
    const now = LATER + 5_000
    const third = log.createEntry(3, now)
    log.registerEntry(third)
    log.live(now, first, second, third)
    for (const entry of [first, second, third]) log.readToEnd(entry, now)
    return { log, entries: [first, second, third], now }
  }

  it('a new entry gets its share by handover, not by a claim over a living owner', () => {
    const { log, entries: [first, second, third], now } = joinThird()
    third.ownership.tick(now + 600)
    expect(third.appends).toHaveLength(0)
    for (const entry of [first, second]) log.claim(entry, now + 600)
    log.readToEnd(third, now + 650)
    expect(third.ownership.ownedCount()).toBeGreaterThan(40)
    expect(first.exported.length + second.exported.length).toBe(third.ownership.ownedCount())
  })

  it('the next owner waits for what the previous one knows and serves from it', () => {
    const { log, entries: [first, , third], now } = joinThird()
    log.claim(first, now + 600)
    log.readToEnd(third, now + 610)
    const [partition] = first.exported
    expect(ours(third, partition!).phase).toBe('collecting')
    const handover = first.sent.find(({ message }) => message.method === 'handover')!
    expect(handover.to).toBe(third.identity)
    if (handover.message.method !== 'handover') throw new Error('no handover')
    third.ownership.handover(first.identity, handover.message.parameters, now + 620)
    expect(ours(third, partition!)).toMatchObject({ phase: 'serving', unaccounted: 0, uncertainBefore: 0 })
    expect(third.imported.map(({ partition }) => partition)).toEqual(first.exported)
    const taken = third.sent.find(({ message }) => message.method === 'handoverTaken')!
    if (taken.message.method !== 'handoverTaken') throw new Error('no handoverTaken')
    first.ownership.handoverTaken(third.identity, taken.message.parameters, now + 630)
    first.sent.length = 0
    first.ownership.tick(now + 5_000)
    expect(first.sent.filter(({ message }) => message.method === 'handover')).toHaveLength(0)
  })

  it('what a handover leaves uncertain is kept by partition', () => {
    const { log, entries: [first, , third], now } = joinThird()
    log.claim(first, now + 600)
    log.readToEnd(third, now + 610)
    const { message } = first.sent.find(({ message }) => message.method === 'handover')!
    if (message.method !== 'handover') throw new Error('no handover')
    const [doubtful, certain] = first.exported as [number, number]
    const partitions = message.parameters.partitions.map(handed => ({
      ...handed, uncertainBefore: handed.partition === doubtful ? now : 0
    }))
    third.ownership.handover(first.identity, { ...message.parameters, partitions }, now + 620)
    expect(ours(third, doubtful).uncertainBefore).toBe(now)
    expect(ours(third, certain).uncertainBefore).toBe(0)
  })

  it('a handover that comes before the next owner has read the log is kept for it', () => {
    const { log, entries: [first, , third], now } = joinThird()
    log.claim(first, now + 600)
    const { message } = first.sent.find(({ message }) => message.method === 'handover')!
    if (message.method !== 'handover') throw new Error('no handover')
    third.ownership.handover(first.identity, message.parameters, now + 605)
    expect(third.sent.filter(({ message }) => message.method === 'handoverTaken')).toHaveLength(0)
    log.readToEnd(third, now + 650)
    expect(ours(third, first.exported[0]!).phase).toBe('serving')
  })

  it('a handover that never comes is replaced by what the agents know', () => {
    const { log, entries: [first, , third], now } = joinThird()
    log.claim(first, now + 600)
    log.readToEnd(third, now + 610)
    third.ownership.collected(agentIdentity(1), answerOf(third, 1), now + 700)
    const [partition] = first.exported
    expect(ours(third, partition!).phase).toBe('collecting')
    third.ownership.tick(now + 610 + 3_000)
    expect(ours(third, partition!)).toMatchObject({ phase: 'serving', unaccounted: 0 })
  })

  it('a stopping entry gives every partition away and tells how many remain', () => {
    const { log, first, second } = createFleet()
    const now = LATER + 5_000
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
