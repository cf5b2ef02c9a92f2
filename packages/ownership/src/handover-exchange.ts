/** Handing partitions to their next owner, and taking them from the previous one, in parts that are repeated. */
import type { EntryIdentity } from '@baobabpost/common'
import type { Handover, HandoverTaken, Outbox, SubmissionHandover } from '@baobabpost/messages'

const REPEAT_MILLISECONDS = 1_000
/** Time after which an unfinished exchange is given up; the next owner collects from the agents by then. */
const GIVE_UP_MILLISECONDS = 30_000
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

/** A handover that arrived whole. */
export interface WholeHandover {
  readonly from: EntryIdentity
  readonly partitions: readonly HandedPartition[]
  readonly submissions: readonly SubmissionHandover[]
}

/** Exchanges of partitions at one entry, by the epoch of the next owner and the process at the other end. */
export interface HandoverExchange {
  give: (
    to: EntryIdentity, partitions: readonly HandedPartition[], submissions: readonly SubmissionHandover[], now: number
  ) => void
  /** Whether something was given and its next owner has not said that it has it. */
  outgoingPartitions: () => number
  taken: (from: EntryIdentity, message: HandoverTaken) => void
  receive: (from: EntryIdentity, message: Handover, now: number) => void
  /** Gives a handover that arrived whole for this epoch, once. */
  takeWhole: (epoch: number, from: EntryIdentity) => WholeHandover | undefined
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
 * Makes the exchanges of one entry.
 *
 * @example
 * const exchange = createHandoverExchange(outbox)
 */
export function createHandoverExchange (outbox: Outbox): HandoverExchange {
  const outgoing = new Map<string, Outgoing>()
  const incoming = new Map<string, Incoming>()

  function send (exchange: Outgoing, now: number): void {
    exchange.sendAt = now + REPEAT_MILLISECONDS
    for (const part of exchange.parts) outbox.send(exchange.to, { method: 'handover', parameters: part })
  }

  return {
    give (to, partitions, submissions, now) {
      const epoch = partitions[0]?.epoch
      if (epoch === undefined) return
      const split = splitSubmissions(submissions)
      const parts = split.map((part, place) => ({ partitions, part: place, parts: split.length, submissions: part }))
      const exchange = { to, parts, startedAt: now, sendAt: now }
      outgoing.set(exchangeKey(epoch, to), exchange)
      send(exchange, now)
    },
    outgoingPartitions () {
      let count = 0
      for (const { parts } of outgoing.values()) count += parts[0]?.partitions.length ?? 0
      return count
    },
    taken (from, message) {
      for (const { epoch } of message.partitions) {
        outgoing.delete(exchangeKey(epoch, from))
      }
    },
    receive (from, message, now) {
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
    takeWhole (epoch, from) {
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
        if (now >= exchange.startedAt + GIVE_UP_MILLISECONDS) outgoing.delete(key)
        else if (now >= exchange.sendAt) send(exchange, now)
      }
      for (const [key, exchange] of incoming) {
        if (now >= exchange.startedAt + GIVE_UP_MILLISECONDS) incoming.delete(key)
      }
    }
  }
}
