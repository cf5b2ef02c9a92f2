/** Every call between the fleet's processes, with the schemas of its parameters and of its answer. */
import { Start, StartAnswer, Stop, StopAnswer, Watch, WatchAnswer } from './agent-messages.js'
import { Announce, AnnounceAnswer, AskConfiguration, AskConfigurationAnswer } from './entry-messages.js'

export const CALLS = {
  watch: { parameters: Watch, answer: WatchAnswer },
  start: { parameters: Start, answer: StartAnswer },
  stop: { parameters: Stop, answer: StopAnswer },
  announce: { parameters: Announce, answer: AnnounceAnswer },
  askConfiguration: { parameters: AskConfiguration, answer: AskConfigurationAnswer }
} as const

/** Name of a call. */
export type CallName = keyof typeof CALLS
/** Parameters of a call. */
export type CallParameters<Name extends CallName> = typeof CALLS[Name]['parameters']['Type']
/** Answer of a call. */
export type CallAnswer<Name extends CallName> = typeof CALLS[Name]['answer']['Type']
/** The connection that a call came by. */
export interface CallConnection {
  /** Calls back if the connection ends before the answer is sent. */
  onLost: (callback: () => void) => void
}
/** What a process does for the calls that it answers. */
export type CallHandlers = {
  readonly [Name in CallName]?: (
    parameters: CallParameters<Name>, connection: CallConnection
  ) => CallAnswer<Name> | Promise<CallAnswer<Name>>
}
