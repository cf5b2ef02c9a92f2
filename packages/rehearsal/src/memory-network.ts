/** Calls between the processes of a rehearsal: in memory, with delays, cuts and freezes. */
import {
  CallError, type CallAnswer, type CallClient, type CallConnection, type CallHandlers, type CallName
} from '@baobabpost/fleet-calls'

/** One way between two VMs. */
const DELAY_MILLISECONDS = 1.4

/** The network of a rehearsal. */
export interface MemoryNetwork {
  /** Makes the client of a process at an address. */
  clientAt: (address: string) => CallClient
  /** A process listens from now on. */
  listen: (address: string, handlers: CallHandlers) => void
  /** A process is gone: connections to it are refused. */
  silence: (address: string) => void
  /** Cuts the ways between two addresses; held messages arrive when it heals, if their caller still waits or not. */
  cut: (left: string, right: string) => void
  heal: (left: string, right: string) => void
  /** Further delay of a call on its way there, in milliseconds; none by default. */
  delayOf: (name: CallName) => number
  /** Calls that were made since the start, by name. */
  readonly callCounts: Map<CallName, number>
  /** Heals all cuts. */
  healAll: () => void
}

function pause (milliseconds: number): Promise<void> {
  return new Promise(resolve => { setTimeout(resolve, milliseconds) })
}

/**
 * Makes a network.
 *
 * @example
 * const network = createMemoryNetwork()
 * network.listen('10.0.0.1:7720', agent.handlers)
 */
export function createMemoryNetwork (): MemoryNetwork {
  const listeners = new Map<string, CallHandlers>()
  const cuts = new Map<string, Array<() => void>>()
  const callCounts = new Map<CallName, number>()

  function wayKey (left: string, right: string): string {
    return left < right ? `${left} ${right}` : `${right} ${left}`
  }

  /** One way; across a cut the message waits until that heals. */
  async function cross (from: string, to: string): Promise<void> {
    await pause(DELAY_MILLISECONDS)
    const held = cuts.get(wayKey(from, to))
    if (held !== undefined) await new Promise<void>(resolve => { held.push(resolve) })
  }

  async function exchange (from: string, to: string, name: CallName, parameters: unknown): Promise<unknown> {
    await pause(network.delayOf(name))
    await cross(from, to)
    const handlers = listeners.get(to)
    if (handlers === undefined) throw new CallError('refused', 'nothing listens')
    const handle = handlers[name] as (parameters: unknown, connection: CallConnection) => unknown
    const answer: unknown = await handle(JSON.parse(JSON.stringify(parameters)), { onLost: () => {} })
    await cross(to, from)
    if (listeners.get(to) !== handlers) throw new CallError('unanswered', 'connection reset')
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
    const held = cuts.get(wayKey(left, right)) ?? []
    cuts.delete(wayKey(left, right))
    for (const release of held) release()
  }

  const network: MemoryNetwork = {
    delayOf: () => 0,
    callCounts,
    clientAt,
    listen: (address, handlers) => { listeners.set(address, handlers) },
    silence: address => { listeners.delete(address) },
    cut: (left, right) => { if (!cuts.has(wayKey(left, right))) cuts.set(wayKey(left, right), []) },
    heal,
    healAll: () => { for (const key of [...cuts.keys()]) heal(...key.split(' ') as [string, string]) }
  }
  return network
}
