/** Simulated network between processes: messages in transit, with loss, duplication, delay and reordering. */
import type { ProcessIdentity, Random } from '@baobabpost/common'
import type { LinkMessage } from '@baobabpost/messages'

/** A message with its sender and recipient. */
export interface MessageEnvelope {
  readonly from: ProcessIdentity
  readonly to: ProcessIdentity
  readonly message: LinkMessage
}

/** Outcome of sending a message; `overtaken` means that later messages may arrive first. */
export type MessageOutcome = 'deliver' | 'lose' | 'repeat' | 'delay' | 'overtaken'

export interface MemoryNetworkOptions {
  readonly random: Random
  /** Returns the outcome of a message when it is sent. */
  readonly outcomeOf: (envelope: MessageEnvelope) => MessageOutcome
  /** Whether messages in this direction are dropped. */
  readonly isCut: (from: ProcessIdentity, to: ProcessIdentity) => boolean
}

export interface MemoryNetwork {
  send: (envelope: MessageEnvelope, now: number) => void
  /** Removes and returns the messages that are due, in random order. */
  takeDue: (now: number) => MessageEnvelope[]
}

const MAXIMUM_TRANSIT_MILLISECONDS = 4
const MAXIMUM_DELAY_MILLISECONDS = 5_000
const MAXIMUM_REPEAT_DELAY_MILLISECONDS = 700
const OVERTAKEN_DELAY_MILLISECONDS = 40

interface ScheduledDelivery {
  readonly envelope: MessageEnvelope
  readonly dueAt: number
}

export function createMemoryNetwork (options: MemoryNetworkOptions): MemoryNetwork {
  const { random } = options
  let deliveries: ScheduledDelivery[] = []
  let delayed: ScheduledDelivery[] = []

  function schedule (envelope: MessageEnvelope, dueAt: number, now: number): void {
    if (dueAt - now > OVERTAKEN_DELAY_MILLISECONDS) delayed.push({ envelope, dueAt })
    else deliveries.push({ envelope, dueAt })
  }

  function releaseDelayed (now: number): void {
    if (delayed.length === 0) return
    const waiting: ScheduledDelivery[] = []
    for (const delivery of delayed) (delivery.dueAt <= now ? deliveries : waiting).push(delivery)
    delayed = waiting
  }

  return {
    send (envelope, now) {
      if (options.isCut(envelope.from, envelope.to)) return
      const dueAt = now + 1 + random.below(MAXIMUM_TRANSIT_MILLISECONDS)
      switch (options.outcomeOf(envelope)) {
        case 'lose':
          return
        case 'deliver':
          schedule(envelope, dueAt, now)
          return
        case 'repeat':
          schedule(envelope, dueAt, now)
          schedule(envelope, dueAt + 1 + random.below(MAXIMUM_REPEAT_DELAY_MILLISECONDS), now)
          return
        case 'delay':
          schedule(envelope, dueAt + 1 + random.below(MAXIMUM_DELAY_MILLISECONDS), now)
          return
        case 'overtaken':
          schedule(envelope, dueAt + OVERTAKEN_DELAY_MILLISECONDS, now)
      }
    },
    takeDue (now) {
      releaseDelayed(now)
      const due: MessageEnvelope[] = []
      const waiting: ScheduledDelivery[] = []
      for (const delivery of deliveries) {
        if (delivery.dueAt <= now) due.push(delivery.envelope)
        else waiting.push(delivery)
      }
      deliveries = waiting
      for (let index = due.length - 1; index > 0; index -= 1) {
        const swapIndex = random.below(index + 1)
        const envelope = due[index]!
        due[index] = due[swapIndex]!
        due[swapIndex] = envelope
      }
      return due
    }
  }
}
