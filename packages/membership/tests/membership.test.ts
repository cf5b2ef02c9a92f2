import { describe, expect, test } from 'vitest'
import type { AgentRegistration, LogEntry } from '@baobabpost/messages'
import type { AgentFixture, EntryFixture, Fleet } from './fleet-fixture.js'
import { createFleet, KEY_WINDOW_MILLISECONDS } from './fleet-fixture.js'

function startFleet (entryCount = 3, agentCount = 4): Fleet {
  const fleet = createFleet(entryCount, agentCount)
  fleet.run(3_000)
  return fleet
}

function registrations (fleet: Fleet, state: AgentRegistration['state']): string[] {
  const [entry] = fleet.entries.filter(({ dead }) => !dead)
  return (entry as EntryFixture).membership.registeredAgents()
    .filter(registration => registration.state === state).map(({ identity }) => identity).sort()
}

function usable (entry: EntryFixture): string[] {
  return entry.membership.usableAgents().map(({ identity }) => identity).sort()
}

function kinds (entry: EntryFixture, agent: AgentFixture): string[] {
  return entry.events.flatMap(event => {
    if (event.kind === 'entries-changed') return []
    const identity = event.kind === 'agent-usable' ? event.agent.identity : event.agent
    return identity === agent.identity ? [event.kind] : []
  })
}

function writesOf (log: readonly LogEntry[], prefix: string): number {
  return log.flatMap(({ record }) => record?.changes ?? []).filter(({ register }) => register.startsWith(prefix)).length
}

const first = <T>(items: readonly T[]): T => items[0] as T

describe('joining', () => {
  test('an announced agent is registered once and usable at every entry', () => {
    const fleet = startFleet()
    const identities = fleet.agents.map(({ identity }) => identity)
    expect(registrations(fleet, 'joined')).toEqual(identities)
    expect(writesOf(fleet.log, 'agent/')).toBe(identities.length)
    for (const entry of fleet.entries) expect(usable(entry)).toEqual(identities)
    expect(first(fleet.agents).last?.standing).toBe('joined')
    expect(first(fleet.agents).last?.entries).toHaveLength(3)
  })

  test('an agent that only one entry can hear is registered by that one', () => {
    const fleet = createFleet(3, 1)
    for (const entry of fleet.entries.slice(1)) fleet.cut(first(fleet.agents).identity, entry.identity)
    fleet.run(3_000)
    expect(registrations(fleet, 'joined')).toHaveLength(1)
  })

  test('while the log is down an agent is pending and still usable for single calls', () => {
    const fleet = startFleet(3, 1)
    for (const entry of fleet.entries) entry.logReachable = false
    const late = fleet.addAgent()
    fleet.run(2_000)
    expect(late.last?.standing).toBe('pending')
    expect(usable(first(fleet.entries))).toContain(late.identity)
    expect(first(fleet.entries).events.filter(event => event.kind === 'agent-usable' && event.joined && event.agent.identity === late.identity)).toEqual([])
  })
})

describe('failure detection', () => {
  test('a dead agent gets no new work within 2 s and departs within 8 s, with one record', () => {
    const fleet = startFleet()
    const dead = first(fleet.agents)
    const writes = writesOf(fleet.log, 'agent/')
    dead.silent = true
    fleet.run(2_000)
    for (const entry of fleet.entries) expect(usable(entry)).not.toContain(dead.identity)
    fleet.run(6_000)
    expect(registrations(fleet, 'departed')).toEqual([dead.identity])
    expect(writesOf(fleet.log, 'agent/')).toBe(writes + 1)
    for (const entry of fleet.entries) expect(kinds(entry, dead).at(-1)).toBe('agent-departed')
  })

  test('a slow agent, silent for less than the bound, is suspected and taken back', () => {
    const fleet = startFleet()
    const slow = first(fleet.agents)
    slow.silent = true
    fleet.run(3_500)
    slow.silent = false
    fleet.run(1_000)
    expect(registrations(fleet, 'departed')).toEqual([])
    expect(kinds(first(fleet.entries), slow).slice(-2)).toEqual(['agent-suspected', 'agent-usable'])
  })

  test('an agent that was replaced while it was paused learns so before anything else', () => {
    const fleet = startFleet()
    const paused = first(fleet.agents)
    paused.silent = true
    fleet.run(10_000)
    paused.silent = false
    fleet.run(1_000)
    expect(paused.last?.standing).toBe('departed')
    for (const entry of fleet.entries) expect(usable(entry)).not.toContain(paused.identity)
  })

  test('an agent that a single entry still hears does not depart', () => {
    const fleet = startFleet()
    const agent = first(fleet.agents)
    for (const entry of fleet.entries.slice(1)) fleet.cut(agent.identity, entry.identity)
    fleet.run(30_000)
    expect(registrations(fleet, 'departed')).toEqual([])
    expect(usable(first(fleet.entries))).toContain(agent.identity)
  })

  test('an agent that a new entry never heard does not depart while others hear it', () => {
    const fleet = startFleet()
    const late = fleet.addEntry()
    fleet.cut(first(fleet.agents).identity, late.identity)
    fleet.run(30_000)
    expect(registrations(fleet, 'departed')).toEqual([])
  })

  test('an entry that paused itself suspects nobody when it wakes', () => {
    const fleet = startFleet()
    const entry = first(fleet.entries)
    entry.paused = true
    fleet.run(10_000)
    const before = entry.events.length
    entry.paused = false
    fleet.run(2_000)
    expect(entry.events.slice(before).filter(event => event.kind === 'agent-suspected')).toEqual([])
    expect(registrations(fleet, 'departed')).toEqual([])
  })

  test('a flapping link never makes an agent depart and costs no appends', () => {
    const fleet = startFleet()
    const writes = writesOf(fleet.log, 'agent/')
    const agent = first(fleet.agents)
    for (let flap = 0; flap < 20; flap += 1) {
      const isCut = flap % 2 === 0
      for (const entry of fleet.entries) fleet.cut(agent.identity, entry.identity, isCut)
      fleet.run(2_500)
    }
    expect(registrations(fleet, 'departed')).toEqual([])
    expect(writesOf(fleet.log, 'agent/')).toBe(writes)
  })
})

describe('cuts', () => {
  test('an entry that hears nobody but reaches the log declares nobody departed and removes no entry', () => {
    const fleet = startFleet()
    const alone = first(fleet.entries)
    const others = fleet.entries.slice(1)
    for (const { identity } of [...others, ...fleet.agents]) fleet.cut(identity, alone.identity)
    fleet.run(60_000)
    expect(registrations(fleet, 'departed')).toEqual([])
    for (const { identity } of others) expect(alone.projection.read(`entry/${identity}`)).toBeDefined()
  })

  test('an entry whose questions do not arrive does not take silence for an answer', () => {
    const fleet = startFleet()
    const [alone, ...others] = fleet.entries as [EntryFixture, ...EntryFixture[]]
    for (const other of others) fleet.cut(alone.identity, other.identity)
    fleet.cut(first(fleet.agents).identity, alone.identity)
    fleet.run(15_000)
    expect(registrations(fleet, 'departed')).toEqual([])
  })

  test('the smaller side of a partition leaves the agents of the larger side alone', () => {
    const fleet = startFleet(3, 4)
    const [small, ...large] = fleet.entries as [EntryFixture, ...EntryFixture[]]
    const [near, ...far] = fleet.agents as [AgentFixture, ...AgentFixture[]]
    for (const { identity } of [...large, ...far]) {
      fleet.cut(identity, small.identity)
      fleet.cut(small.identity, identity)
    }
    for (const { identity } of large) fleet.cut(near.identity, identity)
    fleet.run(30_000)
    expect(registrations(fleet, 'departed')).toEqual([near.identity])
  })
})

describe('planned stops', () => {
  test('a leaving agent gets nothing new at once and departs clean once it is silent', () => {
    const fleet = startFleet()
    const leaving = first(fleet.agents)
    leaving.state = 'leaving'
    fleet.run(600)
    for (const entry of fleet.entries) expect(usable(entry)).not.toContain(leaving.identity)
    leaving.silent = true
    fleet.run(4_000)
    expect(first(fleet.entries).events.find(event => event.kind === 'agent-departed')).toMatchObject({ clean: true })
  })

  test('a leaving agent whose word an entry missed gets nothing new there within 2 s of its silence', () => {
    const fleet = startFleet()
    const leaving = first(fleet.agents)
    const missed = first(fleet.entries)
    fleet.cut(leaving.identity, missed.identity)
    leaving.state = 'leaving'
    fleet.run(2_000)
    expect(usable(missed)).not.toContain(leaving.identity)
  })

  test('a stopping entry says so and leaves no registration behind', () => {
    const fleet = startFleet()
    const stopping = first(fleet.entries)
    stopping.membership.stop(fleet.now())
    fleet.run(600)
    const seen = (fleet.entries[1] as EntryFixture).membership.liveEntries()
    expect(seen.find(({ identity }) => identity === stopping.identity)?.state).toBe('stopping')
    stopping.membership.leave(fleet.now())
    stopping.dead = true
    fleet.run(500)
    expect((fleet.entries[1] as EntryFixture).membership.liveEntries()).toHaveLength(2)
  })
})

describe('entries', () => {
  test('a dead entry counts as dead within 3 s and its registration goes later', () => {
    const fleet = startFleet()
    const [dead, ...others] = fleet.entries as [EntryFixture, ...EntryFixture[]]
    dead.dead = true
    fleet.run(3_000)
    for (const { membership } of others) expect(membership.liveEntries()).toHaveLength(2)
    fleet.run(25_000)
    expect((others[0] as EntryFixture).projection.read(`entry/${dead.identity}`)).toBeUndefined()
  })

  test('while the log is down, entries bring each other what they know', () => {
    const fleet = startFleet()
    const late = fleet.addEntry()
    late.logReachable = false
    fleet.run(2_000)
    expect(late.projection.position()).toBe(first(fleet.entries).projection.position())
    expect(late.membership.registeredAgents()).toHaveLength(4)
  })

  test('a wave in which every process restarts ends with the new ones alone, in few records', () => {
    const fleet = startFleet(3, 12)
    for (const entry of fleet.entries) entry.dead = true
    for (const agent of fleet.agents) agent.silent = true
    const records = fleet.log.length
    for (let count = 0; count < 3; count += 1) fleet.addEntry()
    const fresh = Array.from({ length: 12 }, () => fleet.addAgent().identity)
    fleet.run(40_000)
    expect(registrations(fleet, 'joined')).toEqual([...fresh].sort())
    expect(registrations(fleet, 'departed')).toHaveLength(12)
    const living = (fleet.entries.at(-1) as EntryFixture).membership.liveEntries()
    expect(living).toHaveLength(3)
    expect((fleet.entries.at(-1) as EntryFixture).projection.list('entry')).toHaveLength(3)
    expect(fleet.log.length - records).toBeLessThan(60)
  })

  test('registrations of departed agents are removed once every key of their time has expired', () => {
    const fleet = startFleet()
    first(fleet.agents).silent = true
    fleet.run(10_000)
    expect(registrations(fleet, 'departed')).toHaveLength(1)
    fleet.run(2 * KEY_WINDOW_MILLISECONDS + 5_000)
    expect(registrations(fleet, 'departed')).toEqual([])
    expect(registrations(fleet, 'joined')).toHaveLength(3)
  })
})
