/** The faults of the matrix: each strikes once, at one step of a life, and is over some seconds later. */
import type { SubmissionCaller } from './callers.js'
import type { MessageOutcome, MessageEnvelope } from './memory-network.js'
import type { AgentNode, EntryNode, SimulatedNode } from './simulated-nodes.js'
import type { SimulatedFleet } from './simulated-fleet.js'

/** Where a fault strikes. */
export interface FaultContext {
  readonly world: SimulatedFleet
  /** Entry where the work arrived. */
  readonly arrival: EntryNode | undefined
  /** Owner of the submission; the entry of arrival for a call. */
  readonly owner: EntryNode | undefined
  /** Agent that the work is at, or any. */
  readonly agent: AgentNode | undefined
  /** Message that is the step, if a message is. */
  readonly letter: MessageEnvelope | undefined
  /** The caller of the submission. */
  readonly caller: SubmissionCaller | undefined
  /** Lets something happen later. */
  readonly after: (milliseconds: number, action: () => void) => void
}

/** One fault. */
export interface Fault {
  readonly name: string
  /** Which work has to succeed in spite of it. */
  readonly isBearable: 'all' | 'submission' | 'none'
  readonly strike: (scene: FaultContext) => void
}

const FAULT_MILLISECONDS = 6_000
const LONG_PAUSE_MILLISECONDS = 9_000
const SHORT_PAUSE_MILLISECONDS = 1_500
const SECOND_STRIKE_MILLISECONDS = 2_500

function strikeFate (scene: FaultContext, fate: MessageOutcome): void {
  const { world, letter } = scene
  if (letter === undefined) return
  world.setFate(current => current === letter ? fate : 'deliver')
}

/** All messages of some seconds meet a fate now and then. */
function strikeWave (scene: FaultContext, fate: MessageOutcome, oneIn: number): void {
  const { world } = scene
  world.setFate(() => world.random.below(oneIn) === 0 ? fate : 'deliver')
  scene.after(FAULT_MILLISECONDS, () => { world.setFate(() => 'deliver') })
}

function kill (scene: FaultContext, node: SimulatedNode | undefined): void {
  if (node !== undefined) scene.world.kill(node)
}

function pause (scene: FaultContext, node: SimulatedNode | undefined, milliseconds: number): void {
  if (node !== undefined) scene.world.pause(node, milliseconds)
}

/** Cuts a link in one or both directions for some seconds. */
function cut (scene: FaultContext, from: SimulatedNode | undefined, to: SimulatedNode | undefined): void {
  if (from === undefined || to === undefined || from === to) return
  scene.world.cut(from.identity, to.identity)
  scene.after(FAULT_MILLISECONDS, () => { scene.world.healCuts() })
}

/** Cuts a process off from every entry. */
function isolate (scene: FaultContext, node: SimulatedNode | undefined): void {
  for (const entry of scene.world.entries()) {
    cut(scene, node, entry)
    cut(scene, entry, node)
  }
}

function withoutLog (scene: FaultContext, entry: EntryNode | undefined): void {
  if (entry === undefined) return
  entry.reachesLog = false
  scene.after(LONG_PAUSE_MILLISECONDS, () => { entry.reachesLog = true })
}

function logOutage (scene: FaultContext): void {
  scene.world.log.isDown = true
  scene.after(LONG_PAUSE_MILLISECONDS, () => { scene.world.log.isDown = false })
}

function logSlow (scene: FaultContext): void {
  scene.world.log.delayMilliseconds = 1_500
  scene.after(LONG_PAUSE_MILLISECONDS, () => { scene.world.log.delayMilliseconds = 5 })
}

function logLossy (scene: FaultContext): void {
  scene.world.log.losesAcknowledgements = true
  scene.after(LONG_PAUSE_MILLISECONDS, () => { scene.world.log.losesAcknowledgements = false })
}

function upstreams (scene: FaultContext, fate: AgentNode['upstream']['fate']): void {
  for (const agent of scene.world.agents()) agent.upstream.fate = fate
  scene.after(SHORT_PAUSE_MILLISECONDS, () => {
    for (const agent of scene.world.agents()) agent.upstream.fate = 'answer'
  })
}

function nextOwner (scene: FaultContext): EntryNode | undefined {
  return scene.world.entries().find(entry => entry !== scene.arrival) ?? scene.world.entries()[0]
}

/** All faults of the matrix. */
export const FAULTS: readonly Fault[] = [
  { name: 'none', isBearable: 'all', strike: (): void => {} },
  {
    name: 'the message is lost',
    isBearable: 'all',
    strike: (scene: FaultContext): void => { strikeFate(scene, 'lose') }
  },
  {
    name: 'the message is delayed',
    isBearable: 'all',
    strike: (scene: FaultContext): void => { strikeFate(scene, 'delay') }
  },
  {
    name: 'the message is repeated',
    isBearable: 'all',
    strike: (scene: FaultContext): void => { strikeFate(scene, 'repeat') }
  },
  {
    name: 'the message is overtaken',
    isBearable: 'all',
    strike: (scene: FaultContext): void => { strikeFate(scene, 'overtaken') }
  },
  {
    name: 'many messages are lost',
    isBearable: 'none',
    strike: (scene: FaultContext): void => { strikeWave(scene, 'lose', 3) }
  },
  {
    name: 'all messages are repeated',
    isBearable: 'all',
    strike: (scene: FaultContext): void => { strikeWave(scene, 'repeat', 1) }
  },
  {
    name: 'many messages are delayed',
    isBearable: 'none',
    strike: (scene: FaultContext): void => { strikeWave(scene, 'delay', 2) }
  },
  {
    name: 'the owner dies',
    isBearable: 'none',
    strike: (scene: FaultContext): void => { kill(scene, scene.owner) }
  },
  {
    name: 'the entry of arrival dies',
    isBearable: 'none',
    strike: (scene: FaultContext): void => { kill(scene, scene.arrival) }
  },
  {
    name: 'both entries die',
    isBearable: 'none',
    strike: (scene: FaultContext): void => {
      kill(scene, scene.owner)
      kill(scene, scene.arrival)
    }
  },
  {
    name: 'messages are delayed and the owner dies',
    isBearable: 'none',
    strike: (scene: FaultContext): void => {
      strikeWave(scene, 'delay', 2)
      scene.after(20, () => { kill(scene, scene.owner) })
    }
  },
  {
    name: 'messages are delayed and the owner pauses',
    isBearable: 'none',
    strike: (scene: FaultContext): void => {
      strikeWave(scene, 'delay', 2)
      scene.after(20, () => { pause(scene, scene.owner, LONG_PAUSE_MILLISECONDS) })
    }
  },
  {
    name: 'the owner dies, then another entry',
    isBearable: 'none',
    strike: (scene: FaultContext): void => {
      kill(scene, scene.owner)
      scene.after(SECOND_STRIKE_MILLISECONDS, () => { kill(scene, nextOwner(scene)) })
    }
  },
  {
    name: 'the owner pauses and wakes superseded',
    isBearable: 'none',
    strike: (scene: FaultContext): void => { pause(scene, scene.owner, LONG_PAUSE_MILLISECONDS) }
  },
  {
    name: 'the owner pauses shortly, twice',
    isBearable: 'none',
    strike: (scene: FaultContext): void => {
      pause(scene, scene.owner, SHORT_PAUSE_MILLISECONDS)
      scene.after(SECOND_STRIKE_MILLISECONDS, () => { pause(scene, scene.owner, SHORT_PAUSE_MILLISECONDS) })
    }
  },
  {
    name: 'the agent dies',
    isBearable: 'none',
    strike: (scene: FaultContext): void => { kill(scene, scene.agent) }
  },
  {
    name: 'the agent dies, then another',
    isBearable: 'none',
    strike: (scene: FaultContext): void => {
      kill(scene, scene.agent)
      scene.after(SECOND_STRIKE_MILLISECONDS, () => { kill(scene, scene.world.agents()[0]) })
    }
  },
  {
    name: 'the agent pauses and wakes replaced',
    isBearable: 'none',
    strike: (scene: FaultContext): void => { pause(scene, scene.agent, LONG_PAUSE_MILLISECONDS) }
  },
  {
    name: 'the agent pauses shortly',
    isBearable: 'none',
    strike: (scene: FaultContext): void => { pause(scene, scene.agent, SHORT_PAUSE_MILLISECONDS) }
  },
  {
    name: 'owner and agent die',
    isBearable: 'none',
    strike: (scene: FaultContext): void => {
      kill(scene, scene.owner)
      kill(scene, scene.agent)
    }
  },
  {
    name: 'the owner dies, the agent pauses',
    isBearable: 'none',
    strike: (scene: FaultContext): void => {
      kill(scene, scene.owner)
      pause(scene, scene.agent, LONG_PAUSE_MILLISECONDS)
    }
  },
  {
    name: 'owner and agent pause',
    isBearable: 'none',
    strike: (scene: FaultContext): void => {
      pause(scene, scene.owner, LONG_PAUSE_MILLISECONDS)
      pause(scene, scene.agent, LONG_PAUSE_MILLISECONDS)
    }
  },
  {
    name: 'cut from owner to agent',
    isBearable: 'none',
    strike: (scene: FaultContext): void => { cut(scene, scene.owner, scene.agent) }
  },
  {
    name: 'cut from agent to owner',
    isBearable: 'none',
    strike: (scene: FaultContext): void => { cut(scene, scene.agent, scene.owner) }
  },
  {
    name: 'cut from arrival to owner',
    isBearable: 'none',
    strike: (scene: FaultContext): void => { cut(scene, scene.arrival, scene.owner) }
  },
  {
    name: 'cut from owner to arrival',
    isBearable: 'none',
    strike: (scene: FaultContext): void => { cut(scene, scene.owner, scene.arrival) }
  },
  {
    name: 'the agent is cut off',
    isBearable: 'none',
    strike: (scene: FaultContext): void => { isolate(scene, scene.agent) }
  },
  {
    name: 'the owner is cut off from entries',
    isBearable: 'none',
    strike: (scene: FaultContext): void => { isolate(scene, scene.owner) }
  },
  {
    name: 'the owner does not reach the log',
    isBearable: 'all',
    strike: (scene: FaultContext): void => { withoutLog(scene, scene.owner) }
  },
  {
    name: 'the owner reaches neither entries nor log',
    isBearable: 'none',
    strike: (scene: FaultContext): void => {
      isolate(scene, scene.owner)
      withoutLog(scene, scene.owner)
    }
  },
  { name: 'the log is down', isBearable: 'all', strike: logOutage },
  { name: 'the log is slow', isBearable: 'all', strike: logSlow },
  {
    name: 'the log is down and the owner dies',
    isBearable: 'none',
    strike: (scene: FaultContext): void => {
      logOutage(scene)
      kill(scene, scene.owner)
    }
  },
  {
    name: 'the log loses acknowledgements and the owner dies',
    isBearable: 'none',
    strike: (scene: FaultContext): void => {
      logLossy(scene)
      kill(scene, scene.owner)
    }
  },
  {
    name: 'the log is slow and the owner dies',
    isBearable: 'none',
    strike: (scene: FaultContext): void => {
      logSlow(scene)
      kill(scene, scene.owner)
    }
  },
  {
    name: 'upstreams lose answers',
    isBearable: 'none',
    strike: (scene: FaultContext): void => { upstreams(scene, 'answer-lost') }
  },
  {
    name: 'upstreams fail',
    isBearable: 'none',
    strike: (scene: FaultContext): void => { upstreams(scene, 'fail') }
  },
  {
    name: 'upstreams refuse connections',
    isBearable: 'submission',
    strike: (scene: FaultContext): void => { upstreams(scene, 'refuse-connection') }
  },
  {
    name: 'the owner stops as planned',
    isBearable: 'all',
    strike: (scene: FaultContext): void => { if (scene.owner !== undefined) scene.world.stop(scene.owner) }
  },
  {
    name: 'the agent stops as planned',
    isBearable: 'all',
    strike: (scene: FaultContext): void => { if (scene.agent !== undefined) scene.world.stop(scene.agent) }
  },
  {
    name: 'an entry joins',
    isBearable: 'all',
    strike: (scene: FaultContext): void => { scene.world.addEntry() }
  },
  {
    name: 'the owner stops as planned and dies half way',
    isBearable: 'none',
    strike: (scene: FaultContext): void => {
      if (scene.owner !== undefined) scene.world.stop(scene.owner)
      scene.after(40, () => { kill(scene, scene.owner) })
    }
  },
  {
    name: 'the caller cancels',
    isBearable: 'none',
    strike: (scene: FaultContext): void => { scene.caller?.cancel() }
  },
  {
    name: 'the caller cancels and the owner dies',
    isBearable: 'none',
    strike: (scene: FaultContext): void => {
      scene.caller?.cancel()
      scene.after(20, () => { kill(scene, scene.owner) })
    }
  },
  {
    name: 'the caller submits again through another entry',
    isBearable: 'all',
    strike: (scene: FaultContext): void => { scene.caller?.submitAgain() }
  },
  {
    name: 'the caller breaks off and asks again',
    isBearable: 'all',
    strike: (scene: FaultContext): void => { scene.caller?.breakOff() }
  },
  {
    name: 'the caller submits again and the owner dies',
    isBearable: 'none',
    strike: (scene: FaultContext): void => {
      scene.caller?.submitAgain()
      scene.after(20, () => { kill(scene, scene.owner) })
    }
  }
]
