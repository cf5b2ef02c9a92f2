/** Sends handovers of partitions to their next owner, and collects the parts of those that previous owners send. */
import type { EntryIdentity } from '@baobabpost/common'
import type { Handover, HandoverTaken, Outbox, SubmissionHandover } from '@baobabpost/messages'

const RESEND_MILLISECONDS = 1_000
/** Time after which an unfinished exchange is abandoned; the next owner has collected agents' records before that. */
const EXCHANGE_TIMEOUT_MILLISECONDS = 30_000
const SUBMISSIONS_PER_PART = 200
const TASKS_PER_PART = 4_000

type HandedPartition = Handover['partitions'][number]

interface Outgoing {
  readonly to: EntryIdentity
  readonly parts: readonly Handover[]
  readonly startedAt: number
  sendAt: number
}

interface Incoming {
  readonly startedAt: number
  readonly parts: Map<number, Handover>
}

/** A handover of which all parts have arrived. */
export interface CompleteHandover {
  readonly from: EntryIdentity
  readonly partitions: readonly HandedPartition[]
  readonly submissions: readonly SubmissionHandover[]
}

/** Handovers that one entry sends and receives, keyed by the next owner's epoch and the identity of the other entry. */
export interface HandoverExchange {
  startHandover: (
    to: EntryIdentity, partitions: readonly HandedPartition[], submissions: readonly SubmissionHandover[], now: number
  ) => void
  /** Returns the number of handed over partitions whose next owner has not acknowledged them. */
  outgoingPartitionCount: () => number
  handoverTaken: (from: EntryIdentity, message: HandoverTaken) => void
  receivePart: (from: EntryIdentity, message: Handover, now: number) => void
  /** Removes and returns the handover for this epoch if all its parts have arrived. */
  takeComplete: (epoch: number, from: EntryIdentity) => CompleteHandover | undefined
  tick: (now: number) => void
}

function exchangeKey (epoch: number, other: EntryIdentity): string {
  return `${epoch}/${other}`
}

function splitSubmissions (submissions: readonly SubmissionHandover[]): readonly SubmissionHandover[][] {
  const parts: SubmissionHandover[][] = []
  let part: SubmissionHandover[] = []
  let tasks = 0
  for (const submission of submissions) {
    if (part.length >= SUBMISSIONS_PER_PART || (part.length > 0 && tasks >= TASKS_PER_PART)) {
      parts.push(part)
      part = []
      tasks = 0
    }
    part.push(submission)
    tasks += submission.tasks.length
  }
  parts.push(part)
  return parts
}

/**
 * Creates the handover exchange of one entry.
 *
 * @example
 * const exchange = createHandoverExchange(outbox)
 */
export function createHandoverExchange (outbox: Outbox): HandoverExchange {
  const outgoing = new Map<string, Outgoing>()
  const incoming = new Map<string, Incoming>()

  function send (exchange: Outgoing, now: number): void {
    exchange.sendAt = now + RESEND_MILLISECONDS
    for (const part of exchange.parts) outbox.send(exchange.to, { method: 'handover', parameters: part })
  }

  return {
    startHandover (to, partitions, submissions, now) {
      const epoch = partitions[0]?.epoch
      if (epoch === undefined) return
      const split = splitSubmissions(submissions)
      const parts = split.map((part, place) => ({ partitions, part: place, parts: split.length, submissions: part }))
      const exchange = { to, parts, startedAt: now, sendAt: now }
      outgoing.set(exchangeKey(epoch, to), exchange)
      send(exchange, now)
    },
    outgoingPartitionCount () {
      let count = 0
      for (const { parts } of outgoing.values()) count += parts[0]?.partitions.length ?? 0
      return count
    },
    handoverTaken (from, message) {
      for (const { epoch } of message.partitions) {
        outgoing.delete(exchangeKey(epoch, from))
      }
    },
    receivePart (from, message, now) {
      const epoch = message.partitions[0]?.epoch
      if (epoch === undefined) return
      const key = exchangeKey(epoch, from)
      let exchange = incoming.get(key)
      if (exchange === undefined) {
        exchange = { startedAt: now, parts: new Map() }
        incoming.set(key, exchange)
      }
      exchange.parts.set(message.part, message)
    },
    takeComplete (epoch, from) {
      const key = exchangeKey(epoch, from)
      const exchange = incoming.get(key)
      const first = exchange?.parts.get(0)
      if (exchange === undefined || first === undefined) return undefined
      if (exchange.parts.size < first.parts) return undefined
      incoming.delete(key)
      const submissions = [...exchange.parts.values()].flatMap(part => part.submissions)
      return { from, partitions: first.partitions, submissions }
    },
    tick (now) {
      for (const [key, exchange] of outgoing) {
        if (now >= exchange.startedAt + EXCHANGE_TIMEOUT_MILLISECONDS) outgoing.delete(key)
        else if (now >= exchange.sendAt) send(exchange, now)
      }
      for (const [key, exchange] of incoming) {
        if (now >= exchange.startedAt + EXCHANGE_TIMEOUT_MILLISECONDS) incoming.delete(key)
      }
    }
  }
}
