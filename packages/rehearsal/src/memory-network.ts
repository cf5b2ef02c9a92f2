/** Simulated network for calls between processes: in memory, with delays and partitions. */
import {
  CallError, type CallAnswer, type CallClient, type CallConnection, type CallHandlers, type CallName
} from '@baobabpost/fleet-calls'

/** Network delay between two VMs, in one direction. */
const ONE_WAY_DELAY_MILLISECONDS = 1.4

export interface MemoryNetwork {
  /** Creates the client of a process at an address. */
  clientAt: (address: string) => CallClient
  /** Registers the handlers of a process at an address. */
  listen: (address: string, handlers: CallHandlers) => void
  /** Removes the handlers at an address: connections are refused, and calls in progress fail. */
  stopListening: (address: string) => void
  /** Partitions two addresses. Messages are held and arrive after `heal`, even if the caller has timed out. */
  cut: (left: string, right: string) => void
  /** Partitions two addresses: connections between them are reset and refused, and their messages are lost. */
  cutRefusing: (left: string, right: string) => void
  /** Ends the partition of two addresses and delivers the held messages. */
  heal: (left: string, right: string) => void
  /** Holds the answers that leave an address in the next milliseconds until these are over, as a lost packet does. */
  holdAnswers: (address: string, milliseconds: number) => void
  /** Returns the additional delay of a request, in milliseconds; 0 by default. */
  delayOf: (name: CallName) => number
  /** Number of calls made, by name. */
  readonly callCounts: Map<CallName, number>
  /** Ends all partitions. */
  healAll: () => void
}

function pause (milliseconds: number): Promise<void> {
  return new Promise(resolve => { setTimeout(resolve, milliseconds) })
}

/**
 * Creates a network without listeners.
 *
 * @example
 * const network = createMemoryNetwork()
 * network.listen('10.0.0.1:7720', agent.handlers)
 */
export function createMemoryNetwork (): MemoryNetwork {
  const listeners = new Map<string, CallHandlers>()
  const cuts = new Map<string, Array<() => void>>()
  const refusingCuts = new Set<string>()
  const callCounts = new Map<CallName, number>()
  /** Ends of the holds of answers, by the address that they leave. */
  const answersHeld = new Map<string, Promise<void>>()
  /** Functions that fail the calls in progress at an address, or between two. */
  const resets = new Map<string, Set<() => void>>()

  function linkKey (left: string, right: string): string {
    return left < right ? `${left} ${right}` : `${right} ${left}`
  }

  /** Delivers a message in one direction. During a partition it is held until `heal`. */
  async function deliver (from: string, to: string): Promise<void> {
    await pause(ONE_WAY_DELAY_MILLISECONDS)
    const heldMessages = cuts.get(linkKey(from, to))
    if (heldMessages !== undefined) await new Promise<void>(resolve => { heldMessages.push(resolve) })
    if (refusingCuts.has(linkKey(from, to))) throw new CallError('unanswered', 'connection reset')
  }

  function resetCalls (place: string): void {
    for (const reset of resets.get(place) ?? []) reset()
  }

  /**
   * Returns what a handler answers; fails when its process stops listening, as a killed one resets its connections, or
   * when a partition resets them.
   */
  async function answerUnlessReset (from: string, to: string, handle: () => unknown): Promise<unknown> {
    const places = [to, linkKey(from, to)]
    let reset = (): void => {}
    const lost = new Promise<never>((_resolve, reject) => {
      reset = () => { reject(new CallError('unanswered', 'connection reset')) }
    })
    for (const place of places) resets.set(place, (resets.get(place) ?? new Set()).add(reset))
    try {
      return await Promise.race([handle(), lost])
    } finally {
      for (const place of places) resets.get(place)?.delete(reset)
    }
  }

  async function exchange (from: string, to: string, name: CallName, parameters: unknown): Promise<unknown> {
    await pause(network.delayOf(name))
    if (refusingCuts.has(linkKey(from, to))) {
      await pause(ONE_WAY_DELAY_MILLISECONDS)
      throw new CallError('refused', 'connection refused: a partition refuses it')
    }
    await deliver(from, to)
    const handlers = listeners.get(to)
    if (handlers === undefined) throw new CallError('refused', 'connection refused: nothing listens at the address')
    const handle = handlers[name] as (parameters: unknown, connection: CallConnection) => unknown
    const answer = await answerUnlessReset(
      from, to, () => handle(JSON.parse(JSON.stringify(parameters)), { onLost: () => {} }))
    if (listeners.get(to) !== handlers) throw new CallError('unanswered', 'connection reset')
    await answersHeld.get(to)
    // An answer that is on its way arrives, also when its sender ends meanwhile.
    await deliver(to, from)
    return JSON.parse(JSON.stringify(answer))
  }

  function clientAt (from: string): CallClient {
    return {
      call: <Name extends CallName>(to: string, name: Name, parameters: unknown, timeout: number) =>
        new Promise<CallAnswer<Name>>((resolve, reject) => {
          callCounts.set(name, (callCounts.get(name) ?? 0) + 1)
          const timer = setTimeout(() => { reject(new CallError('unanswered', 'timeout')) }, timeout)
          exchange(from, to, name, parameters).then(answer => {
            clearTimeout(timer)
            resolve(answer as CallAnswer<Name>)
          }, (failure: unknown) => {
            clearTimeout(timer)
            reject(failure instanceof Error ? failure : new Error(String(failure)))
          })
        }),
      close: () => {}
    }
  }

  function heal (left: string, right: string): void {
    const heldMessages = cuts.get(linkKey(left, right)) ?? []
    cuts.delete(linkKey(left, right))
    refusingCuts.delete(linkKey(left, right))
    for (const releaseMessage of heldMessages) releaseMessage()
  }

  const network: MemoryNetwork = {
    delayOf: () => 0,
    holdAnswers: (address, milliseconds) => {
      const held = pause(milliseconds).then(() => {
        if (answersHeld.get(address) === held) answersHeld.delete(address)
      })
      answersHeld.set(address, held)
    },
    callCounts,
    clientAt,
    listen: (address, handlers) => { listeners.set(address, handlers) },
    stopListening: address => {
      listeners.delete(address)
      resetCalls(address)
    },
    cut: (left, right) => { if (!cuts.has(linkKey(left, right))) cuts.set(linkKey(left, right), []) },
    cutRefusing: (left, right) => {
      refusingCuts.add(linkKey(left, right))
      resetCalls(linkKey(left, right))
    },
    heal,
    healAll: () => { for (const key of [...cuts.keys(), ...refusingCuts]) heal(...key.split(' ') as [string, string]) }
  }
  return network
}
