/** Faults of the matrix. Each is injected once, at one step of a lifecycle, and ends some seconds later. */
import type { SubmissionCaller } from './callers.js'
import type { MessageOutcome, MessageEnvelope } from './memory-network.js'
import type { AgentNode, EntryNode, SimulatedNode } from './simulated-nodes.js'
import type { SimulatedFleet } from './simulated-fleet.js'

/** State of the simulation when a fault is injected. */
export interface FaultContext {
  readonly fleet: SimulatedFleet
  /** Entry that received the work from the caller. */
  readonly receivingEntry: EntryNode | undefined
  /** Owner of the submission; the receiving entry for a call. */
  readonly owner: EntryNode | undefined
  /** Agent to which the work was dispatched, or any agent. */
  readonly agent: AgentNode | undefined
  /** Message that marks the step, if a message does. */
  readonly envelope: MessageEnvelope | undefined
  /** Caller of the submission; undefined for a call. */
  readonly caller: SubmissionCaller | undefined
  /** Runs an action after a delay in simulated time. */
  readonly after: (milliseconds: number, action: () => void) => void
}

export interface Fault {
  readonly name: string
  /** Kinds of work that must succeed despite the fault. */
  readonly workThatMustSucceed: 'all' | 'submission' | 'none'
  readonly inject: (context: FaultContext) => void
}

const FAULT_DURATION_MILLISECONDS = 6_000
const LONG_PAUSE_MILLISECONDS = 9_000
const SHORT_PAUSE_MILLISECONDS = 1_500
const SECOND_FAULT_DELAY_MILLISECONDS = 2_500

function injectMessageFault (context: FaultContext, outcome: MessageOutcome): void {
  const { fleet, envelope } = context
  if (envelope === undefined) return
  fleet.setMessageOutcome(current => current === envelope ? outcome : 'deliver')
}

/** For some seconds, one in `oneIn` messages has the given outcome. */
function injectMessageFaults (context: FaultContext, outcome: MessageOutcome, oneIn: number): void {
  const { fleet } = context
  fleet.setMessageOutcome(() => fleet.random.below(oneIn) === 0 ? outcome : 'deliver')
  context.after(FAULT_DURATION_MILLISECONDS, () => { fleet.setMessageOutcome(() => 'deliver') })
}

function kill (context: FaultContext, node: SimulatedNode | undefined): void {
  if (node !== undefined) context.fleet.kill(node)
}

function pause (context: FaultContext, node: SimulatedNode | undefined, milliseconds: number): void {
  if (node !== undefined) context.fleet.pause(node, milliseconds)
}

/** Cuts the link in one direction for some seconds. */
function cut (context: FaultContext, from: SimulatedNode | undefined, to: SimulatedNode | undefined): void {
  if (from === undefined || to === undefined || from === to) return
  context.fleet.cut(from.identity, to.identity)
  context.after(FAULT_DURATION_MILLISECONDS, () => { context.fleet.healCuts() })
}

/** Cuts the links between a process and all entries, in both directions. */
function isolate (context: FaultContext, node: SimulatedNode | undefined): void {
  for (const entry of context.fleet.entries()) {
    cut(context, node, entry)
    cut(context, entry, node)
  }
}

function disconnectFromLog (context: FaultContext, entry: EntryNode | undefined): void {
  if (entry === undefined) return
  entry.reachesLog = false
  context.after(LONG_PAUSE_MILLISECONDS, () => { entry.reachesLog = true })
}

function startLogOutage (context: FaultContext): void {
  context.fleet.log.isDown = true
  context.after(LONG_PAUSE_MILLISECONDS, () => { context.fleet.log.isDown = false })
}

function slowLog (context: FaultContext): void {
  context.fleet.log.delayMilliseconds = 1_500
  context.after(LONG_PAUSE_MILLISECONDS, () => { context.fleet.log.delayMilliseconds = 5 })
}

function loseLogAcknowledgements (context: FaultContext): void {
  context.fleet.log.losesAcknowledgements = true
  context.after(LONG_PAUSE_MILLISECONDS, () => { context.fleet.log.losesAcknowledgements = false })
}

function setRequestOutcomes (context: FaultContext, outcome: AgentNode['upstream']['requestOutcome']): void {
  for (const agent of context.fleet.agents()) agent.upstream.requestOutcome = outcome
  context.after(SHORT_PAUSE_MILLISECONDS, () => {
    for (const agent of context.fleet.agents()) agent.upstream.requestOutcome = 'answer'
  })
}

function anotherEntry (context: FaultContext): EntryNode | undefined {
  return context.fleet.entries().find(entry => entry !== context.receivingEntry) ?? context.fleet.entries()[0]
}

export const FAULTS: readonly Fault[] = [
  { name: 'none', workThatMustSucceed: 'all', inject: (): void => {} },
  {
    name: 'the message is lost',
    workThatMustSucceed: 'all',
    inject: (context: FaultContext): void => { injectMessageFault(context, 'lose') }
  },
  {
    name: 'the message is delayed',
    workThatMustSucceed: 'all',
    inject: (context: FaultContext): void => { injectMessageFault(context, 'delay') }
  },
  {
    name: 'the message is repeated',
    workThatMustSucceed: 'all',
    inject: (context: FaultContext): void => { injectMessageFault(context, 'repeat') }
  },
  {
    name: 'the message is overtaken',
    workThatMustSucceed: 'all',
    inject: (context: FaultContext): void => { injectMessageFault(context, 'overtaken') }
  },
  {
    name: 'many messages are lost',
    workThatMustSucceed: 'none',
    inject: (context: FaultContext): void => { injectMessageFaults(context, 'lose', 3) }
  },
  {
    name: 'all messages are repeated',
    workThatMustSucceed: 'all',
    inject: (context: FaultContext): void => { injectMessageFaults(context, 'repeat', 1) }
  },
  {
    name: 'many messages are delayed',
    workThatMustSucceed: 'none',
    inject: (context: FaultContext): void => { injectMessageFaults(context, 'delay', 2) }
  },
  {
    name: 'the owner dies',
    workThatMustSucceed: 'none',
    inject: (context: FaultContext): void => { kill(context, context.owner) }
  },
  {
    name: 'the receiving entry dies',
    workThatMustSucceed: 'none',
    inject: (context: FaultContext): void => { kill(context, context.receivingEntry) }
  },
  {
    name: 'both entries die',
    workThatMustSucceed: 'none',
    inject: (context: FaultContext): void => {
      kill(context, context.owner)
      kill(context, context.receivingEntry)
    }
  },
  {
    name: 'messages are delayed and the owner dies',
    workThatMustSucceed: 'none',
    inject: (context: FaultContext): void => {
      injectMessageFaults(context, 'delay', 2)
      context.after(20, () => { kill(context, context.owner) })
    }
  },
  {
    name: 'messages are delayed and the owner pauses',
    workThatMustSucceed: 'none',
    inject: (context: FaultContext): void => {
      injectMessageFaults(context, 'delay', 2)
      context.after(20, () => { pause(context, context.owner, LONG_PAUSE_MILLISECONDS) })
    }
  },
  {
    name: 'the owner dies, then another entry',
    workThatMustSucceed: 'none',
    inject: (context: FaultContext): void => {
      kill(context, context.owner)
      context.after(SECOND_FAULT_DELAY_MILLISECONDS, () => { kill(context, anotherEntry(context)) })
    }
  },
  {
    name: 'the owner pauses until another entry has taken over',
    workThatMustSucceed: 'none',
    inject: (context: FaultContext): void => { pause(context, context.owner, LONG_PAUSE_MILLISECONDS) }
  },
  {
    name: 'the owner pauses briefly, twice',
    workThatMustSucceed: 'none',
    inject: (context: FaultContext): void => {
      pause(context, context.owner, SHORT_PAUSE_MILLISECONDS)
      context.after(SECOND_FAULT_DELAY_MILLISECONDS, () => { pause(context, context.owner, SHORT_PAUSE_MILLISECONDS) })
    }
  },
  {
    name: 'the agent dies',
    workThatMustSucceed: 'none',
    inject: (context: FaultContext): void => { kill(context, context.agent) }
  },
  {
    name: 'the agent dies, then another agent',
    workThatMustSucceed: 'none',
    inject: (context: FaultContext): void => {
      kill(context, context.agent)
      context.after(SECOND_FAULT_DELAY_MILLISECONDS, () => { kill(context, context.fleet.agents()[0]) })
    }
  },
  {
    name: 'the agent pauses until it has been replaced',
    workThatMustSucceed: 'none',
    inject: (context: FaultContext): void => { pause(context, context.agent, LONG_PAUSE_MILLISECONDS) }
  },
  {
    name: 'the agent pauses briefly',
    workThatMustSucceed: 'none',
    inject: (context: FaultContext): void => { pause(context, context.agent, SHORT_PAUSE_MILLISECONDS) }
  },
  {
    name: 'the owner and the agent die',
    workThatMustSucceed: 'none',
    inject: (context: FaultContext): void => {
      kill(context, context.owner)
      kill(context, context.agent)
    }
  },
  {
    name: 'the owner dies and the agent pauses',
    workThatMustSucceed: 'none',
    inject: (context: FaultContext): void => {
      kill(context, context.owner)
      pause(context, context.agent, LONG_PAUSE_MILLISECONDS)
    }
  },
  {
    name: 'the owner and the agent pause',
    workThatMustSucceed: 'none',
    inject: (context: FaultContext): void => {
      pause(context, context.owner, LONG_PAUSE_MILLISECONDS)
      pause(context, context.agent, LONG_PAUSE_MILLISECONDS)
    }
  },
  {
    name: 'the link from owner to agent is cut',
    workThatMustSucceed: 'none',
    inject: (context: FaultContext): void => { cut(context, context.owner, context.agent) }
  },
  {
    name: 'the link from agent to owner is cut',
    workThatMustSucceed: 'none',
    inject: (context: FaultContext): void => { cut(context, context.agent, context.owner) }
  },
  {
    name: 'the link from receiving entry to owner is cut',
    workThatMustSucceed: 'none',
    inject: (context: FaultContext): void => { cut(context, context.receivingEntry, context.owner) }
  },
  {
    name: 'the link from owner to receiving entry is cut',
    workThatMustSucceed: 'none',
    inject: (context: FaultContext): void => { cut(context, context.owner, context.receivingEntry) }
  },
  {
    name: 'the agent is cut off from entries',
    workThatMustSucceed: 'none',
    inject: (context: FaultContext): void => { isolate(context, context.agent) }
  },
  {
    name: 'the owner is cut off from entries',
    workThatMustSucceed: 'none',
    inject: (context: FaultContext): void => { isolate(context, context.owner) }
  },
  {
    name: 'the owner cannot reach the log',
    workThatMustSucceed: 'all',
    inject: (context: FaultContext): void => { disconnectFromLog(context, context.owner) }
  },
  {
    name: 'the owner can reach neither entries nor log',
    workThatMustSucceed: 'none',
    inject: (context: FaultContext): void => {
      isolate(context, context.owner)
      disconnectFromLog(context, context.owner)
    }
  },
  { name: 'the log is down', workThatMustSucceed: 'all', inject: startLogOutage },
  { name: 'the log is slow', workThatMustSucceed: 'all', inject: slowLog },
  {
    name: 'the log is down and the owner dies',
    workThatMustSucceed: 'none',
    inject: (context: FaultContext): void => {
      startLogOutage(context)
      kill(context, context.owner)
    }
  },
  {
    name: 'the log loses acknowledgements and the owner dies',
    workThatMustSucceed: 'none',
    inject: (context: FaultContext): void => {
      loseLogAcknowledgements(context)
      kill(context, context.owner)
    }
  },
  {
    name: 'the log is slow and the owner dies',
    workThatMustSucceed: 'none',
    inject: (context: FaultContext): void => {
      slowLog(context)
      kill(context, context.owner)
    }
  },
  {
    name: 'upstreams lose answers',
    workThatMustSucceed: 'none',
    inject: (context: FaultContext): void => { setRequestOutcomes(context, 'answer-lost') }
  },
  {
    name: 'upstreams fail',
    workThatMustSucceed: 'none',
    inject: (context: FaultContext): void => { setRequestOutcomes(context, 'fail') }
  },
  {
    name: 'upstreams refuse connections',
    workThatMustSucceed: 'submission',
    inject: (context: FaultContext): void => { setRequestOutcomes(context, 'refuse-connection') }
  },
  {
    name: 'the owner shuts down gracefully',
    workThatMustSucceed: 'all',
    inject: (context: FaultContext): void => {
      if (context.owner !== undefined) context.fleet.beginShutdown(context.owner)
    }
  },
  {
    name: 'the agent shuts down gracefully',
    workThatMustSucceed: 'all',
    inject: (context: FaultContext): void => {
      if (context.agent !== undefined) context.fleet.beginShutdown(context.agent)
    }
  },
  {
    name: 'an entry joins',
    workThatMustSucceed: 'all',
    inject: (context: FaultContext): void => { context.fleet.addEntry() }
  },
  {
    name: 'the owner dies during its graceful shutdown',
    workThatMustSucceed: 'none',
    inject: (context: FaultContext): void => {
      if (context.owner !== undefined) context.fleet.beginShutdown(context.owner)
      context.after(40, () => { kill(context, context.owner) })
    }
  },
  {
    name: 'the caller cancels',
    workThatMustSucceed: 'none',
    inject: (context: FaultContext): void => { context.caller?.cancel() }
  },
  {
    name: 'the caller cancels and the owner dies',
    workThatMustSucceed: 'none',
    inject: (context: FaultContext): void => {
      context.caller?.cancel()
      context.after(20, () => { kill(context, context.owner) })
    }
  },
  {
    name: 'the caller submits again through another entry',
    workThatMustSucceed: 'all',
    inject: (context: FaultContext): void => { context.caller?.resubmit() }
  },
  {
    name: 'the caller disconnects and submits again',
    workThatMustSucceed: 'all',
    inject: (context: FaultContext): void => { context.caller?.disconnect() }
  },
  {
    name: 'the caller submits again and the owner dies',
    workThatMustSucceed: 'none',
    inject: (context: FaultContext): void => {
      context.caller?.resubmit()
      context.after(20, () => { kill(context, context.owner) })
    }
  }
]
