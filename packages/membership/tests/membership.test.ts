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
  const [entry] = fleet.entries.filter(({ isDead }) => !isDead)
  return (entry as EntryFixture).membership.registeredAgents()
    .filter(registration => registration.state === state).map(({ identity }) => identity).sort()
}

function usableIdentities (entry: EntryFixture): string[] {
  return entry.membership.usableAgents().map(({ identity }) => identity).sort()
}

function eventKinds (entry: EntryFixture, agent: AgentFixture): string[] {
  return entry.events.flatMap(event => {
    if (event.kind === 'entries-changed') return []
    const identity = event.kind === 'agent-usable' ? event.agent.identity : event.agent
    return identity === agent.identity ? [event.kind] : []
  })
}

function countWrites (log: readonly LogEntry[], prefix: string): number {
  return log.flatMap(({ record }) => record?.changes ?? []).filter(({ register }) => register.startsWith(prefix)).length
}

const first = <T>(items: readonly T[]): T => items[0] as T

describe('joining', () => {
  test('an announced agent is registered once and usable at every entry', () => {
    const fleet = startFleet()
    const identities = fleet.agents.map(({ identity }) => identity)
    expect(registrations(fleet, 'joined')).toEqual(identities)
    expect(countWrites(fleet.log, 'agent/')).toBe(identities.length)
    for (const entry of fleet.entries) expect(usableIdentities(entry)).toEqual(identities)
    expect(first(fleet.agents).lastAnswer?.standing).toBe('joined')
    expect(first(fleet.agents).lastAnswer?.entries).toHaveLength(3)
  })

  test('an agent whose heartbeats reach a single entry is registered by that entry', () => {
    const fleet = createFleet(3, 1)
    for (const entry of fleet.entries.slice(1)) fleet.setCut(first(fleet.agents).identity, entry.identity)
    fleet.run(3_000)
    expect(registrations(fleet, 'joined')).toHaveLength(1)
  })

  test('while the log is unreachable a new agent is pending but usable for calls', () => {
    const fleet = startFleet(3, 1)
    for (const entry of fleet.entries) entry.isLogReachable = false
    const newAgent = fleet.addAgent()
    fleet.run(2_000)
    expect(newAgent.lastAnswer?.standing).toBe('pending')
    expect(usableIdentities(first(fleet.entries))).toContain(newAgent.identity)
    expect(first(fleet.entries).events.filter(event => event.kind === 'agent-usable' && event.joined && event.agent.identity === newAgent.identity)).toEqual([])
  })
})

describe('failure detection', () => {
  test('a dead agent gets no new work after 2 s and is declared departed within 8 s, by one log record', () => {
    const fleet = startFleet()
    const dead = first(fleet.agents)
    const writes = countWrites(fleet.log, 'agent/')
    dead.isUnresponsive = true
    fleet.run(2_000)
    for (const entry of fleet.entries) expect(usableIdentities(entry)).not.toContain(dead.identity)
    fleet.run(6_000)
    expect(registrations(fleet, 'departed')).toEqual([dead.identity])
    expect(countWrites(fleet.log, 'agent/')).toBe(writes + 1)
    for (const entry of fleet.entries) expect(eventKinds(entry, dead).at(-1)).toBe('agent-departed')
  })

  test('an agent unresponsive for less than the departure limit is suspected and then usable again', () => {
    const fleet = startFleet()
    const unresponsiveAgent = first(fleet.agents)
    unresponsiveAgent.isUnresponsive = true
    fleet.run(3_500)
    unresponsiveAgent.isUnresponsive = false
    fleet.run(1_000)
    expect(registrations(fleet, 'departed')).toEqual([])
    expect(eventKinds(first(fleet.entries), unresponsiveAgent).slice(-2)).toEqual(['agent-suspected', 'agent-usable'])
  })

  test('an agent declared departed during its own pause is told so in answer to its next heartbeat', () => {
    const fleet = startFleet()
    const paused = first(fleet.agents)
    paused.isUnresponsive = true
    fleet.run(10_000)
    paused.isUnresponsive = false
    fleet.run(1_000)
    expect(paused.lastAnswer?.standing).toBe('departed')
    for (const entry of fleet.entries) expect(usableIdentities(entry)).not.toContain(paused.identity)
  })

  test('an agent whose heartbeats still reach one entry is not declared departed', () => {
    const fleet = startFleet()
    const agent = first(fleet.agents)
    for (const entry of fleet.entries.slice(1)) fleet.setCut(agent.identity, entry.identity)
    fleet.run(30_000)
    expect(registrations(fleet, 'departed')).toEqual([])
    expect(usableIdentities(first(fleet.entries))).toContain(agent.identity)
  })

  test('an agent whose heartbeats never reach a new entry stays joined while other entries receive them', () => {
    const fleet = startFleet()
    const newEntry = fleet.addEntry()
    fleet.setCut(first(fleet.agents).identity, newEntry.identity)
    fleet.run(30_000)
    expect(registrations(fleet, 'departed')).toEqual([])
  })

  test('an entry that resumes after a pause of its own suspects no agent', () => {
    const fleet = startFleet()
    const entry = first(fleet.entries)
    entry.isPaused = true
    fleet.run(10_000)
    const eventCountBefore = entry.events.length
    entry.isPaused = false
    fleet.run(2_000)
    expect(entry.events.slice(eventCountBefore).filter(event => event.kind === 'agent-suspected')).toEqual([])
    expect(registrations(fleet, 'departed')).toEqual([])
  })

  test('a flapping link never gets an agent declared departed and causes no appends', () => {
    const fleet = startFleet()
    const writes = countWrites(fleet.log, 'agent/')
    const agent = first(fleet.agents)
    for (let flap = 0; flap < 20; flap += 1) {
      const isCut = flap % 2 === 0
      for (const entry of fleet.entries) fleet.setCut(agent.identity, entry.identity, isCut)
      fleet.run(2_500)
    }
    expect(registrations(fleet, 'departed')).toEqual([])
    expect(countWrites(fleet.log, 'agent/')).toBe(writes)
  })
})

describe('network partitions', () => {
  test('an entry that receives no messages but reaches the log declares no agent departed and removes no entry', () => {
    const fleet = startFleet()
    const isolatedEntry = first(fleet.entries)
    const others = fleet.entries.slice(1)
    for (const { identity } of [...others, ...fleet.agents]) fleet.setCut(identity, isolatedEntry.identity)
    fleet.run(60_000)
    expect(registrations(fleet, 'departed')).toEqual([])
    for (const { identity } of others) expect(isolatedEntry.projection.read(`entry/${identity}`)).toBeDefined()
  })

  test('an entry whose heartbeats do not reach its peers does not treat missing answers as agreement', () => {
    const fleet = startFleet()
    const [isolatedEntry, ...others] = fleet.entries as [EntryFixture, ...EntryFixture[]]
    for (const other of others) fleet.setCut(isolatedEntry.identity, other.identity)
    fleet.setCut(first(fleet.agents).identity, isolatedEntry.identity)
    fleet.run(15_000)
    expect(registrations(fleet, 'departed')).toEqual([])
  })

  test('the smaller side of a network partition does not declare agents of the larger side departed', () => {
    const fleet = startFleet(3, 4)
    const [smallSide, ...largeSide] = fleet.entries as [EntryFixture, ...EntryFixture[]]
    const [agentOfSmallSide, ...agentsOfLargeSide] = fleet.agents as [AgentFixture, ...AgentFixture[]]
    for (const { identity } of [...largeSide, ...agentsOfLargeSide]) {
      fleet.setCut(identity, smallSide.identity)
      fleet.setCut(smallSide.identity, identity)
    }
    for (const { identity } of largeSide) fleet.setCut(agentOfSmallSide.identity, identity)
    fleet.run(30_000)
    expect(registrations(fleet, 'departed')).toEqual([agentOfSmallSide.identity])
  })
})

describe('graceful shutdown', () => {
  test('a leaving agent gets no new work at once and departs clean once its heartbeats stop', () => {
    const fleet = startFleet()
    const leaving = first(fleet.agents)
    leaving.state = 'leaving'
    fleet.run(600)
    for (const entry of fleet.entries) expect(usableIdentities(entry)).not.toContain(leaving.identity)
    leaving.isUnresponsive = true
    fleet.run(4_000)
    expect(first(fleet.entries).events.find(event => event.kind === 'agent-departed')).toMatchObject({ clean: true })
  })

  test('an entry that misses the announcement of a leaving agent stops using it within 2 s', () => {
    const fleet = startFleet()
    const leaving = first(fleet.agents)
    const uninformedEntry = first(fleet.entries)
    fleet.setCut(leaving.identity, uninformedEntry.identity)
    leaving.state = 'leaving'
    fleet.run(2_000)
    expect(usableIdentities(uninformedEntry)).not.toContain(leaving.identity)
  })

  test('a stopping entry announces it in heartbeats and removes its registration', () => {
    const fleet = startFleet()
    const stopping = first(fleet.entries)
    stopping.membership.stop(fleet.now())
    fleet.run(600)
    const seen = (fleet.entries[1] as EntryFixture).membership.liveEntries()
    expect(seen.find(({ identity }) => identity === stopping.identity)?.state).toBe('stopping')
    stopping.membership.leave(fleet.now())
    stopping.isDead = true
    fleet.run(500)
    expect((fleet.entries[1] as EntryFixture).membership.liveEntries()).toHaveLength(2)
  })
})

describe('entries', () => {
  test('a dead entry is not live after 3 s, and its registration is removed later', () => {
    const fleet = startFleet()
    const [dead, ...others] = fleet.entries as [EntryFixture, ...EntryFixture[]]
    dead.isDead = true
    fleet.run(3_000)
    for (const { membership } of others) expect(membership.liveEntries()).toHaveLength(2)
    fleet.run(25_000)
    expect((others[0] as EntryFixture).projection.read(`entry/${dead.identity}`)).toBeUndefined()
  })

  test('while the log is unreachable, entries receive registers from their peers', () => {
    const fleet = startFleet()
    const newEntry = fleet.addEntry()
    newEntry.isLogReachable = false
    fleet.run(2_000)
    expect(newEntry.projection.position()).toBe(first(fleet.entries).projection.position())
    expect(newEntry.membership.registeredAgents()).toHaveLength(4)
  })

  test('after every process restarts at once, only the new ones stay registered, with fewer than 60 records', () => {
    const fleet = startFleet(3, 12)
    for (const entry of fleet.entries) entry.isDead = true
    for (const agent of fleet.agents) agent.isUnresponsive = true
    const recordCountBefore = fleet.log.length
    for (let count = 0; count < 3; count += 1) fleet.addEntry()
    const newIdentities = Array.from({ length: 12 }, () => fleet.addAgent().identity)
    fleet.run(40_000)
    expect(registrations(fleet, 'joined')).toEqual([...newIdentities].sort())
    expect(registrations(fleet, 'departed')).toHaveLength(12)
    const liveEntries = (fleet.entries.at(-1) as EntryFixture).membership.liveEntries()
    expect(liveEntries).toHaveLength(3)
    expect((fleet.entries.at(-1) as EntryFixture).projection.list('entry')).toHaveLength(3)
    expect(fleet.log.length - recordCountBefore).toBeLessThan(60)
  })

  test('registrations of departed agents are removed once every submission key from their time has expired', () => {
    const fleet = startFleet()
    first(fleet.agents).isUnresponsive = true
    fleet.run(10_000)
    expect(registrations(fleet, 'departed')).toHaveLength(1)
    fleet.run(2 * KEY_WINDOW_MILLISECONDS + 5_000)
    expect(registrations(fleet, 'departed')).toEqual([])
    expect(registrations(fleet, 'joined')).toHaveLength(3)
  })
})
