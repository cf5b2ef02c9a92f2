/** Joins the view of the agents and that of the other entries to one membership. */
import type { AgentIdentity, EntryIdentity } from '@baobabpost/common'
import type { AgentRegistration, EntryRegistration } from '@baobabpost/messages'
import { createAgentWatch, type AgentWatch } from './agent-watch.js'
import { createEntryPeers, type EntryPeers } from './entry-peers.js'
import type { Membership, MembershipEvent, MembershipOptions } from './membership.js'
import { createPauseClock } from './pause-clock.js'

/**
 * Makes the membership of one entry.
 *
 * @example
 * const membership = createMembership({ identity, address, failureDomain, fold, outbox, … })
 * follow(membership.start(now))
 */
export function createMembership (options: MembershipOptions): Membership {
  const clock = createPauseClock(options.startedAt)
  const peers: EntryPeers = createEntryPeers({
    ...options,
    clock,
    suspectedAgents: () => watch.suspected(),
    heardOf: agents => watch.heardOf(agents),
    mayJudge: () => watch.mayJudge()
  })
  const watch: AgentWatch = createAgentWatch({
    ...options,
    clock,
    liveEntries: () => peers.live().map(entry => entry.identity),
    isUnheardElsewhere: peers.isUnheardElsewhere,
    hearsMostEntries: peers.hearsMostEntries,
    hearsPeers: peers.hearsPeers,
    entryAddresses: () => peers.live().map(({ identity, address }) => ({ identity, address }))
  })
  let toldEntries = ''

  /** Tells the live entries if they or their states changed. */
  function entriesChanged (): readonly MembershipEvent[] {
    const entries = peers.live()
    const shown = entries.map(entry => `${entry.identity} ${entry.state}`).join('\n')
    if (shown === toldEntries) return []
    toldEntries = shown
    return [{ kind: 'entries-changed', entries }]
  }

  return {
    start (now) {
      peers.start(now)
      return entriesChanged()
    },
    handleAnnounce (announce, now) {
      clock.tick(now)
      return watch.announce(announce)
    },
    handleEntryHeartbeat (heartbeat, now) {
      clock.tick(now)
      peers.heartbeat(heartbeat, now)
      return entriesChanged()
    },
    handleEntryHeartbeatAnswer (from, answer, now) {
      clock.tick(now)
      peers.answer(from, answer)
      return entriesChanged()
    },
    registersChanged (changes) {
      const events: MembershipEvent[] = []
      for (const { register, value } of changes) {
        const slash = register.indexOf('/')
        const kind = register.slice(0, slash)
        const name = register.slice(slash + 1)
        if (kind === 'entry') peers.registered(name as EntryIdentity, value as EntryRegistration | null)
        if (kind !== 'agent') continue
        events.push(...watch.registered(name as AgentIdentity, value as AgentRegistration | null))
      }
      return [...events, ...entriesChanged()]
    },
    tick (now) {
      clock.tick(now)
      peers.tick(now)
      return [...watch.tick(now), ...entriesChanged()]
    },
    stop (now) {
      peers.stop(now)
      return entriesChanged()
    },
    leave: peers.leave,
    usableAgents: watch.usable,
    liveEntries: peers.live,
    registeredAgents: watch.registrations
  }
}
