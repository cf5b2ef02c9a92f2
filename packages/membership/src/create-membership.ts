/** Combines the failure detectors for agents and for entries into one membership. */
import type { AgentIdentity, EntryIdentity } from '@baobabpost/common'
import type { AgentRegistration, EntryRegistration } from '@baobabpost/messages'
import { createAgentWatch, type AgentWatch } from './agent-watch.js'
import { createEntryPeers, type EntryPeers } from './entry-peers.js'
import type { Membership, MembershipEvent, MembershipOptions } from './membership.js'
import { createPauseClock } from './pause-clock.js'

/**
 * Creates the membership of one entry.
 *
 * @example
 * const membership = createMembership({ identity, address, failureDomain, projection, outbox, … })
 * follow(membership.start(now))
 */
export function createMembership (options: MembershipOptions): Membership {
  const clock = createPauseClock(options.startedAt)
  const peers: EntryPeers = createEntryPeers({
    ...options,
    clock,
    suspectedAgents: () => watch.suspected(),
    selectRecentlySeen: agents => watch.selectRecentlySeen(agents),
    mayDeclareDeparted: () => watch.mayDeclareDeparted()
  })
  const watch: AgentWatch = createAgentWatch({
    ...options,
    clock,
    liveEntries: () => peers.live().map(entry => entry.identity),
    isUnseenByPeers: peers.isUnseenByPeers,
    hasContactWithMostEntries: peers.hasContactWithMostEntries,
    hasContactWithPeers: peers.hasContactWithPeers,
    entryAddresses: () => peers.live().map(({ identity, address }) => ({ identity, address }))
  })
  let reportedEntries = ''

  /** Reports the live entries if they or their states changed. */
  function reportEntryChanges (): readonly MembershipEvent[] {
    const entries = peers.live()
    const currentEntries = entries.map(entry => `${entry.identity} ${entry.state}`).join('\n')
    if (currentEntries === reportedEntries) return []
    reportedEntries = currentEntries
    return [{ kind: 'entries-changed', entries }]
  }

  return {
    start (now) {
      peers.start(now)
      return reportEntryChanges()
    },
    handleAnnounce (announce, now) {
      clock.tick(now)
      return watch.handleAnnounce(announce)
    },
    handleEntryHeartbeat (heartbeat, now) {
      clock.tick(now)
      peers.handleHeartbeat(heartbeat, now)
      return reportEntryChanges()
    },
    handleEntryHeartbeatAnswer (from, answer, now) {
      clock.tick(now)
      peers.handleAnswer(from, answer)
      return reportEntryChanges()
    },
    registersChanged (changes) {
      const events: MembershipEvent[] = []
      for (const { register, value } of changes) {
        const slash = register.indexOf('/')
        const kind = register.slice(0, slash)
        const name = register.slice(slash + 1)
        if (kind === 'entry') peers.registrationChanged(name as EntryIdentity, value as EntryRegistration | null)
        if (kind !== 'agent') continue
        events.push(...watch.registrationChanged(name as AgentIdentity, value as AgentRegistration | null))
      }
      watch.prohibitionsChanged(new Set(changes.map(({ register }) => register)))
      return [...events, ...reportEntryChanges()]
    },
    tick (now) {
      clock.tick(now)
      peers.tick(now)
      return [...watch.tick(now), ...reportEntryChanges()]
    },
    stop (now) {
      peers.stop(now)
      return reportEntryChanges()
    },
    leave: peers.leave,
    usableAgents: watch.usable,
    liveEntries: peers.live,
    registeredAgents: watch.registrations
  }
}
