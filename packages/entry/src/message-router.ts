/** Passes each message received over a link to the component that handles it. */
import type { AgentIdentity, EntryIdentity, Logger, ProcessIdentity } from '@baobabpost/common'
import type { EntryHeartbeatAnswer, LinkMessage } from '@baobabpost/messages'
import type { EntryComponents } from './entry-components.js'
import type { MembershipHandler } from './membership-handler.js'

export interface MessageRouterOptions {
  readonly components: EntryComponents
  readonly membershipHandler: MembershipHandler
  readonly handleHeartbeatAnswer: (from: EntryIdentity, answer: EntryHeartbeatAnswer, now: number) => void
  readonly logger: Logger
}

/** Handles one message received over a link. */
export type MessageRouter = (from: ProcessIdentity, message: LinkMessage, now: number) => void

export function createMessageRouter (options: MessageRouterOptions): MessageRouter {
  const { membershipHandler, logger } = options
  const { dispatcher, ownership, membership, operations } = options.components

  return function routeMessage (from: ProcessIdentity, message: LinkMessage, now: number): void {
    switch (message.method) {
      case 'report':
        dispatcher.handleReport(from as AgentIdentity, message.parameters, now)
        return
      case 'collected':
        ownership.collected(from as AgentIdentity, message.parameters, now)
        return
      case 'announce':
        membershipHandler.handleEvents(membership.handleAnnounce(message.parameters, now), now)
        return
      case 'entryHeartbeat':
        ownership.peerPositionReported(from as EntryIdentity, message.parameters.position, now)
        membershipHandler.handleEvents(membership.handleEntryHeartbeat(message.parameters, now), now)
        return
      case 'entryHeartbeatAnswer':
        options.handleHeartbeatAnswer(from as EntryIdentity, message.parameters, now)
        return
      case 'forward':
        operations.handleForward(from as EntryIdentity, message.parameters, now)
        return
      case 'forwarded':
        operations.handleForwarded(message.parameters, now)
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
