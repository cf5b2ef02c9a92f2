/** Gives each message of a link to the slice that it is for. */
import type { AgentIdentity, EntryIdentity, Logger, ProcessIdentity } from '@baobabpost/common'
import type { EntryHeartbeatAnswer, LinkMessage } from '@baobabpost/messages'
import type { EntryComponents } from './entry-components.js'
import type { FleetFollower } from './membership-handler.js'

/** What the router needs. */
export interface MessageRouterOptions {
  readonly slices: EntryComponents
  readonly fleet: FleetFollower
  readonly receiveHeartbeatAnswer: (from: EntryIdentity, answer: EntryHeartbeatAnswer, now: number) => void
  readonly logger: Logger
}

/** Takes in one message of a link. */
export type MessageRouter = (from: ProcessIdentity, message: LinkMessage, now: number) => void

/** Makes the router of an entry. */
export function createMessageRouter (options: MessageRouterOptions): MessageRouter {
  const { fleet, logger } = options
  const { dispatcher, ownership, membership, operations } = options.slices

  return function receive (from: ProcessIdentity, message: LinkMessage, now: number): void {
    switch (message.method) {
      case 'report':
        dispatcher.report(from as AgentIdentity, message.parameters, now)
        return
      case 'collected':
        ownership.collected(from as AgentIdentity, message.parameters, now)
        return
      case 'announce':
        fleet.follow(membership.handleAnnounce(message.parameters, now), now)
        return
      case 'entryHeartbeat':
        ownership.peerPositionReported(from as EntryIdentity, message.parameters.position, now)
        fleet.follow(membership.handleEntryHeartbeat(message.parameters, now), now)
        return
      case 'entryHeartbeatAnswer':
        options.receiveHeartbeatAnswer(from as EntryIdentity, message.parameters, now)
        return
      case 'forward':
        operations.forward(from as EntryIdentity, message.parameters, now)
        return
      case 'forwarded':
        operations.forwarded(message.parameters, now)
        return
      case 'handover':
        ownership.handover(from as EntryIdentity, message.parameters, now)
        return
      case 'handoverTaken':
        ownership.handoverTaken(from as EntryIdentity, message.parameters, now)
        return
      case 'dispatch':
      case 'withdraw':
      case 'acknowledge':
      case 'collect':
      case 'announced':
        logger.warn('message for an agent dropped', { method: message.method, from })
    }
  }
}
