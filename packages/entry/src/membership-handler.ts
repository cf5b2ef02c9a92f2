/** Follows what membership finds out: which agents get work, which entries own partitions, what a departure ends. */
import type { AgentIdentity, Logger, ProcessIdentity } from '@baobabpost/common'
import type { MembershipEvent } from '@baobabpost/membership'
import type { EntryComponents } from './entry-components.js'

/** What the follower needs. */
export interface FleetFollowerOptions {
  readonly slices: EntryComponents
  readonly setPeer: (identity: ProcessIdentity, address: string) => void
  readonly forgetPeer: (identity: ProcessIdentity) => void
  readonly logger: Logger
}

/** Carries events of membership to the other slices. */
export interface FleetFollower {
  follow: (events: readonly MembershipEvent[], now: number) => void
}

/** Makes the follower of an entry. */
export function createFleetFollower (options: FleetFollowerOptions): FleetFollower {
  const { logger } = options
  const { placement, dispatcher, calls, outcomes, ownership } = options.slices

  function followDeparture (agent: AgentIdentity, clean: boolean, now: number): void {
    logger.warn('agent departed', { agent, clean })
    placement.stopUsing(agent)
    dispatcher.agentDeparted(agent, now)
    calls.agentDeparted(agent, now)
    outcomes.agentDeparted(agent, now)
    options.forgetPeer(agent)
  }

  function followEvent (event: MembershipEvent, now: number): void {
    switch (event.kind) {
      case 'agent-usable':
        options.setPeer(event.agent.identity, event.agent.address)
        placement.use(event.agent)
        return
      case 'agent-suspected':
        logger.warn('agent suspected', { agent: event.agent })
        placement.stopUsing(event.agent)
        return
      case 'agent-leaving':
        logger.info('agent leaving', { agent: event.agent })
        placement.stopUsing(event.agent)
        return
      case 'agent-departed':
        followDeparture(event.agent, event.clean, now)
        return
      case 'entries-changed': {
        for (const entry of event.entries) options.setPeer(entry.identity, entry.address)
        const ready = event.entries.filter(entry => entry.state === 'ready')
        ownership.setLiveEntries(ready.map(entry => entry.identity), now)
      }
    }
  }

  return {
    follow (events, now) {
      for (const event of events) followEvent(event, now)
    }
  }
}
