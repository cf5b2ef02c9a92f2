/** Messages between processes: a list of what is under way, and what may happen to it. */
import type { ProcessIdentity, Random } from '@baobabpost/common'
import type { LinkMessage } from '@baobabpost/messages'

/** A message under way. */
export interface MessageEnvelope {
  readonly from: ProcessIdentity
  readonly to: ProcessIdentity
  readonly message: LinkMessage
}

/** What happens to a message. */
export type MessageOutcome = 'deliver' | 'lose' | 'repeat' | 'delay' | 'overtaken'

/** Rates of faults of messages, each from 0 to 1, and the bounds of delays. */
export interface MemoryNetworkOptions {
  readonly random: Random
  /** Decides about each message as it is sent. */
  readonly fateOf: (letter: MessageEnvelope) => MessageOutcome
  readonly isCut: (from: ProcessIdentity, to: ProcessIdentity) => boolean
}

/** Messages under way. */
export interface MemoryNetwork {
  send: (letter: MessageEnvelope, now: number) => void
  /** Takes out what is due, in random order. */
  takeDue: (now: number) => MessageEnvelope[]
}

const LONGEST_TRANSIT_MILLISECONDS = 4
const LATE_MILLISECONDS = 5_000
const REPEATED_MILLISECONDS = 700
const OVERTAKEN_MILLISECONDS = 40

interface Transit {
  readonly letter: MessageEnvelope
  readonly dueAt: number
}

/** Makes the messages of a run. */
export function createMemoryNetwork (options: MemoryNetworkOptions): MemoryNetwork {
  const { random } = options
  let transits: Transit[] = []
  let late: Transit[] = []

  function post (letter: MessageEnvelope, dueAt: number, now: number): void {
    if (dueAt - now > OVERTAKEN_MILLISECONDS) late.push({ letter, dueAt })
    else transits.push({ letter, dueAt })
  }

  function takeLate (now: number): void {
    if (late.length === 0) return
    const waiting: Transit[] = []
    for (const transit of late) (transit.dueAt <= now ? transits : waiting).push(transit)
    late = waiting
  }

  return {
    send (letter, now) {
      if (options.isCut(letter.from, letter.to)) return
      const dueAt = now + 1 + random.below(LONGEST_TRANSIT_MILLISECONDS)
      switch (options.fateOf(letter)) {
        case 'lose':
          return
        case 'deliver':
          post(letter, dueAt, now)
          return
        case 'repeat':
          post(letter, dueAt, now)
          post(letter, dueAt + 1 + random.below(REPEATED_MILLISECONDS), now)
          return
        case 'delay':
          post(letter, dueAt + 1 + random.below(LATE_MILLISECONDS), now)
          return
        case 'overtaken':
          post(letter, dueAt + OVERTAKEN_MILLISECONDS, now)
      }
    },
    takeDue (now) {
      takeLate(now)
      const due: MessageEnvelope[] = []
      const waiting: Transit[] = []
      for (const transit of transits) {
        if (transit.dueAt <= now) due.push(transit.letter)
        else waiting.push(transit)
      }
      transits = waiting
      for (let place = due.length - 1; place > 0; place -= 1) {
        const other = random.below(place + 1)
        const letter = due[place]!
        due[place] = due[other]!
        due[other] = letter
      }
      return due
    }
  }
}
