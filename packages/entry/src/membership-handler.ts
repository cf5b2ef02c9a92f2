/**
 * Handles membership events: updates the agents that receive work, the addresses of peers, the entries that may own
 * partitions, and the tasks at departed agents.
 */
import type { AgentIdentity, Logger, ProcessIdentity } from '@baobabpost/common'
import type { MembershipEvent } from '@baobabpost/membership'
import type { EntryComponents } from './entry-components.js'

export interface MembershipHandlerOptions {
  readonly components: EntryComponents
  readonly setPeer: (identity: ProcessIdentity, address: string) => void
  readonly forgetPeer: (identity: ProcessIdentity) => void
  readonly logger: Logger
}

/** Passes membership events to the other components. */
export interface MembershipHandler {
  handleEvents: (events: readonly MembershipEvent[], now: number) => void
}

export function createMembershipHandler (options: MembershipHandlerOptions): MembershipHandler {
  const { logger } = options
  const { placement, dispatcher, calls, outcomes, ownership } = options.components

  function handleDeparture (agent: AgentIdentity, clean: boolean, now: number): void {
    logger.warn('agent departed', { agent, clean })
    placement.stopUsingAgent(agent)
    dispatcher.handleAgentDeparture(agent, now)
    calls.handleAgentDeparture(agent, now)
    outcomes.agentDeparted(agent, now)
    options.forgetPeer(agent)
  }

  function handleEvent (event: MembershipEvent, now: number): void {
    switch (event.kind) {
      case 'agent-usable':
        options.setPeer(event.agent.identity, event.agent.address)
        placement.useAgent(event.agent)
        return
      case 'agent-suspected':
        logger.warn('agent suspected', { agent: event.agent })
        placement.stopUsingAgent(event.agent)
        return
      case 'agent-leaving':
        logger.info('agent leaving', { agent: event.agent })
        placement.stopUsingAgent(event.agent)
        return
      case 'agent-departed':
        handleDeparture(event.agent, event.clean, now)
        return
      case 'entries-changed': {
        for (const entry of event.entries) options.setPeer(entry.identity, entry.address)
        const ready = event.entries.filter(entry => entry.state === 'ready')
        ownership.setLiveEntries(ready.map(entry => entry.identity), now)
      }
    }
  }

  return {
    handleEvents (events, now) {
      for (const event of events) handleEvent(event, now)
    }
  }
}
