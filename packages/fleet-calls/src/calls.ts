/** All calls between the fleet's processes, with the schemas of their parameters and answers. */
import { Start, StartAnswer, Stop, StopAnswer, Watch, WatchAnswer } from './agent-messages.js'
import { TellCrashes, TellCrashesAnswer } from './crash-facts.js'
import {
  Announce, AnnounceAnswer, AskConfiguration, AskConfigurationAnswer, TellEvacuations, TellEvacuationsAnswer
} from './entry-messages.js'
import { TellOpenOrders, TellOpenOrdersAnswer } from './late-orders.js'

/**
 * Time without a byte after which an answer of unbounded size is given up; the timeout of its call covers only the time
 * until it begins. A small answer must end within the timeout.
 */
const IDLE_TIMEOUT_MILLISECONDS = 1_000

/** HTTP path of all calls. */
export const CALL_PATH = '/calls'
/** Value of the header `Upgrade` with which a client asks for a shared connection. */
export const UPGRADE_PROTOCOL = 'baobabpost-calls'

/** The calls. Those with `isShared` go over the one connection to a process; the others are HTTP requests. */
export const CALLS = {
  watch: { parameters: Watch, answer: WatchAnswer, isShared: true },
  start: { parameters: Start, answer: StartAnswer, isShared: true },
  stop: { parameters: Stop, answer: StopAnswer, isShared: true },
  announce: { parameters: Announce, answer: AnnounceAnswer },
  askConfiguration: {
    parameters: AskConfiguration, answer: AskConfigurationAnswer, idleTimeoutMilliseconds: IDLE_TIMEOUT_MILLISECONDS
  },
  tellEvacuations: { parameters: TellEvacuations, answer: TellEvacuationsAnswer, isShared: true },
  /** Unknown to earlier builds, which answer with an error. */
  tellCrashes: { parameters: TellCrashes, answer: TellCrashesAnswer, isShared: true },
  /** Unknown to earlier builds, which answer with an error. */
  tellOpenOrders: { parameters: TellOpenOrders, answer: TellOpenOrdersAnswer, isShared: true }
} as const

/** Time without a byte after which the answer to a call is given up once it has begun; undefined if it is small. */
export function idleTimeoutOf (name: CallName): number | undefined {
  const call = CALLS[name]
  return 'idleTimeoutMilliseconds' in call ? call.idleTimeoutMilliseconds : undefined
}

/** Whether a call goes over the shared connection to a process. */
export function isShared (name: CallName): boolean {
  return 'isShared' in CALLS[name]
}

export type CallName = keyof typeof CALLS
export type CallParameters<Name extends CallName> = typeof CALLS[Name]['parameters']['Type']
export type CallAnswer<Name extends CallName> = typeof CALLS[Name]['answer']['Type']
/** The connection on which a call arrived. */
export interface CallConnection {
  /** Registers a callback for the case that the connection closes before the answer is sent. */
  onLost: (callback: () => void) => void
}
/** Handlers of the calls that a process answers. */
export type CallHandlers = {
  readonly [Name in CallName]?: (
    parameters: CallParameters<Name>, connection: CallConnection
  ) => CallAnswer<Name> | Promise<CallAnswer<Name>>
}
