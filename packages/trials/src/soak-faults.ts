/** Faults of the soak run. Each is injected at a random time and, unless permanent, ends after a random time. */
import type { Random } from '@baobabpost/common'
import { TEMPLATE_NAME } from './fixtures.js'
import type { MessageOutcome } from './memory-network.js'
import type { AgentNode, EntryNode } from './simulated-nodes.js'
import { seededNonce } from './seeded-names.js'
import type { SimulatedFleet } from './simulated-fleet.js'

/** Runs an action after a delay in simulated time. */
export type ScheduleAfter = (milliseconds: number, action: () => void) => void

/** A kind of fault: chooses a random target and schedules its own end. */
interface SoakFault {
  readonly name: string
  readonly inject: (fleet: SimulatedFleet, after: ScheduleAfter) => void
}

const MAXIMUM_FAULT_MILLISECONDS = 12_000
const MINIMUM_ENTRIES = 2
const MINIMUM_AGENTS = 2
const MAXIMUM_ENTRIES = 5
const MAXIMUM_AGENTS = 8

function pick<T> (random: Random, items: readonly T[]): T | undefined {
  return items[random.below(Math.max(1, items.length))]
}

function randomDurationMilliseconds (random: Random): number {
  return 100 + random.below(MAXIMUM_FAULT_MILLISECONDS)
}

function killRandomEntry (fleet: SimulatedFleet): void {
  const entry = pick(fleet.random, fleet.entries())
  if (entry !== undefined && fleet.entries().length > MINIMUM_ENTRIES) fleet.kill(entry)
}

function killRandomAgent (fleet: SimulatedFleet): void {
  const agent = pick(fleet.random, fleet.agents())
  if (agent !== undefined && fleet.agents().length > MINIMUM_AGENTS) fleet.kill(agent)
}

function pauseRandomNode (fleet: SimulatedFleet, nodes: readonly (EntryNode | AgentNode)[]): void {
  const node = pick(fleet.random, nodes)
  if (node !== undefined) fleet.pause(node, randomDurationMilliseconds(fleet.random))
}

function cutRandomLink (fleet: SimulatedFleet, after: ScheduleAfter): void {
  const from = pick(fleet.random, [...fleet.entries(), ...fleet.agents()])
  const to = pick(fleet.random, [...fleet.entries(), ...fleet.agents()])
  if (from === undefined || to === undefined || from === to) return
  fleet.cut(from.identity, to.identity)
  after(randomDurationMilliseconds(fleet.random), () => { fleet.healCut(from.identity, to.identity) })
}

function isolateRandomNode (fleet: SimulatedFleet, after: ScheduleAfter): void {
  const node = pick(fleet.random, [...fleet.entries(), ...fleet.agents()])
  if (node === undefined) return
  const others = [...fleet.entries(), ...fleet.agents()].filter(other => other !== node && fleet.random.below(3) > 0)
  for (const { identity } of others) {
    fleet.cut(node.identity, identity)
    fleet.cut(identity, node.identity)
  }
  after(randomDurationMilliseconds(fleet.random), () => {
    for (const { identity } of others) {
      fleet.healCut(node.identity, identity)
      fleet.healCut(identity, node.identity)
    }
  })
}

function createMessageFault (outcome: MessageOutcome, oneIn: number): SoakFault['inject'] {
  return (fleet, after) => {
    fleet.setMessageOutcome(() => fleet.random.below(oneIn) === 0 ? outcome : 'deliver')
    after(randomDurationMilliseconds(fleet.random), () => { fleet.setMessageOutcome(() => 'deliver') })
  }
}

function createUpstreamFault (outcome: AgentNode['upstream']['requestOutcome']): SoakFault['inject'] {
  return (fleet, after) => {
    const agent = pick(fleet.random, fleet.agents())
    if (agent === undefined) return
    agent.upstream.requestOutcome = outcome
    after(randomDurationMilliseconds(fleet.random), () => { agent.upstream.requestOutcome = 'answer' })
  }
}

function disconnectFromLog (fleet: SimulatedFleet, after: ScheduleAfter): void {
  const entry = pick(fleet.random, fleet.entries())
  if (entry === undefined) return
  entry.reachesLog = false
  after(randomDurationMilliseconds(fleet.random), () => { entry.reachesLog = true })
}

function startLogOutage (fleet: SimulatedFleet, after: ScheduleAfter): void {
  fleet.log.isDown = true
  after(randomDurationMilliseconds(fleet.random), () => { fleet.log.isDown = false })
}

function slowLog (fleet: SimulatedFleet, after: ScheduleAfter): void {
  fleet.log.delayMilliseconds = 200 + fleet.random.below(2_500)
  after(randomDurationMilliseconds(fleet.random), () => { fleet.log.delayMilliseconds = 5 })
}

function loseLogAcknowledgements (fleet: SimulatedFleet, after: ScheduleAfter): void {
  fleet.log.losesAcknowledgements = true
  after(randomDurationMilliseconds(fleet.random), () => { fleet.log.losesAcknowledgements = false })
}

function stopRandomNode (fleet: SimulatedFleet, nodes: readonly (EntryNode | AgentNode)[], minimumCount: number): void {
  const node = pick(fleet.random, nodes)
  if (node !== undefined && nodes.length > minimumCount) fleet.beginShutdown(node)
}

/** Two operators publish the same template against the version known to one entry, which may be stale. */
function publishConflictingTemplates (fleet: SimulatedFleet): void {
  const register = `template/${TEMPLATE_NAME}`
  const known = pick(fleet.random, fleet.entries())?.core.components.projection.read(register)
  if (known === undefined) return
  for (const operator of ['first', 'second']) {
    const value = { ...known.value as object, expectedMilliseconds: 50 + fleet.random.below(500) }
    fleet.log.append({
      author: `operator-${operator}`,
      nonce: seededNonce(fleet.random, fleet.now()),
      changes: [{ kind: 'write', register, replaces: known.version, value }]
    }, fleet.now(), () => true)
  }
}

/** All kinds of faults, and joins, graceful shutdowns and publications. */
export const SOAK_FAULTS: readonly SoakFault[] = [
  { name: 'entry dies', inject: killRandomEntry },
  { name: 'agent dies', inject: killRandomAgent },
  {
    name: 'entry and agent die',
    inject: (fleet: SimulatedFleet): void => {
      killRandomEntry(fleet)
      killRandomAgent(fleet)
    }
  },
  { name: 'entry pauses', inject: (fleet: SimulatedFleet): void => { pauseRandomNode(fleet, fleet.entries()) } },
  { name: 'agent pauses', inject: (fleet: SimulatedFleet): void => { pauseRandomNode(fleet, fleet.agents()) } },
  { name: 'link cut in one direction', inject: cutRandomLink },
  { name: 'process isolated', inject: isolateRandomNode },
  { name: 'messages lost', inject: createMessageFault('lose', 4) },
  { name: 'messages repeated', inject: createMessageFault('repeat', 2) },
  { name: 'messages delayed', inject: createMessageFault('delay', 5) },
  { name: 'messages overtaken', inject: createMessageFault('overtaken', 2) },
  { name: 'upstream loses answers', inject: createUpstreamFault('answer-lost') },
  { name: 'upstream fails', inject: createUpstreamFault('fail') },
  { name: 'upstream refuses connections', inject: createUpstreamFault('refuse-connection') },
  { name: 'entry cut off from log', inject: disconnectFromLog },
  { name: 'log down', inject: startLogOutage },
  { name: 'log slow', inject: slowLog },
  { name: 'log loses acknowledgements', inject: loseLogAcknowledgements },
  { name: 'entry shuts down gracefully', inject: (fleet: SimulatedFleet): void => { stopRandomNode(fleet, fleet.entries(), MINIMUM_ENTRIES) } },
  { name: 'agent shuts down gracefully', inject: (fleet: SimulatedFleet): void => { stopRandomNode(fleet, fleet.agents(), MINIMUM_AGENTS) } },
  { name: 'entry joins', inject: (fleet: SimulatedFleet): void => { if (fleet.entries().length < MAXIMUM_ENTRIES) fleet.addEntry() } },
  { name: 'agent joins', inject: (fleet: SimulatedFleet): void => { if (fleet.agents().length < MAXIMUM_AGENTS) fleet.addAgent() } },
  { name: 'configuration published', inject: publishConflictingTemplates }
]
