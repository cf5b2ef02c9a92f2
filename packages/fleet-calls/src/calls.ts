/** All calls between the fleet's processes, with the schemas of their parameters and answers. */
import { Start, StartAnswer, Stop, StopAnswer, Watch, WatchAnswer } from './agent-messages.js'
import {
  Announce, AnnounceAnswer, AskConfiguration, AskConfigurationAnswer, TellEvacuations, TellEvacuationsAnswer
} from './entry-messages.js'

/**
 * Time without a byte after which an answer of unbounded size is given up; the timeout of its call covers only the time
 * until it begins. A small answer must end within the timeout.
 */
const IDLE_TIMEOUT_MILLISECONDS = 1_000

export const CALLS = {
  watch: { parameters: Watch, answer: WatchAnswer },
  start: { parameters: Start, answer: StartAnswer },
  stop: { parameters: Stop, answer: StopAnswer },
  announce: { parameters: Announce, answer: AnnounceAnswer },
  askConfiguration: {
    parameters: AskConfiguration, answer: AskConfigurationAnswer, idleTimeoutMilliseconds: IDLE_TIMEOUT_MILLISECONDS
  },
  tellEvacuations: { parameters: TellEvacuations, answer: TellEvacuationsAnswer }
} as const

/** Time without a byte after which the answer to a call is given up once it has begun; undefined if it is small. */
export function idleTimeoutOf (name: CallName): number | undefined {
  const call = CALLS[name]
  return 'idleTimeoutMilliseconds' in call ? call.idleTimeoutMilliseconds : undefined
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
