/** The faults of the randomised run: each strikes at random and is over after a random time. */
import type { Random } from '@baobabpost/common'
import { TEMPLATE_NAME } from './fixtures.js'
import type { MessageOutcome } from './memory-network.js'
import type { AgentNode, EntryNode } from './simulated-nodes.js'
import { seededNonce } from './seeded-names.js'
import type { SimulatedFleet } from './simulated-fleet.js'

/** Lets something happen later. */
export type ScheduleAfter = (milliseconds: number, action: () => void) => void

/** A kind of fault: strikes somewhere and plans its own end. */
interface SoakFault {
  readonly name: string
  readonly strike: (world: SimulatedFleet, after: ScheduleAfter) => void
}

const LONGEST_FAULT_MILLISECONDS = 12_000
const FEWEST_ENTRIES = 2
const FEWEST_AGENTS = 2
const MOST_ENTRIES = 5
const MOST_AGENTS = 8

function pick<T> (random: Random, items: readonly T[]): T | undefined {
  return items[random.below(Math.max(1, items.length))]
}

function someTime (random: Random): number {
  return 100 + random.below(LONGEST_FAULT_MILLISECONDS)
}

function killEntry (world: SimulatedFleet): void {
  const entry = pick(world.random, world.entries())
  if (entry !== undefined && world.entries().length > FEWEST_ENTRIES) world.kill(entry)
}

function killAgent (world: SimulatedFleet): void {
  const agent = pick(world.random, world.agents())
  if (agent !== undefined && world.agents().length > FEWEST_AGENTS) world.kill(agent)
}

function pauseSome (world: SimulatedFleet, nodes: readonly (EntryNode | AgentNode)[]): void {
  const node = pick(world.random, nodes)
  if (node !== undefined) world.pause(node, someTime(world.random))
}

function cutSome (world: SimulatedFleet, after: ScheduleAfter): void {
  const from = pick(world.random, [...world.entries(), ...world.agents()])
  const to = pick(world.random, [...world.entries(), ...world.agents()])
  if (from === undefined || to === undefined || from === to) return
  world.cut(from.identity, to.identity)
  after(someTime(world.random), () => { world.healCut(from.identity, to.identity) })
}

function isolateSome (world: SimulatedFleet, after: ScheduleAfter): void {
  const node = pick(world.random, [...world.entries(), ...world.agents()])
  if (node === undefined) return
  const others = [...world.entries(), ...world.agents()].filter(other => other !== node && world.random.below(3) > 0)
  for (const { identity } of others) {
    world.cut(node.identity, identity)
    world.cut(identity, node.identity)
  }
  after(someTime(world.random), () => {
    for (const { identity } of others) {
      world.healCut(node.identity, identity)
      world.healCut(identity, node.identity)
    }
  })
}

function strikeMail (fate: MessageOutcome, oneIn: number): SoakFault['strike'] {
  return (world, after) => {
    world.setFate(() => world.random.below(oneIn) === 0 ? fate : 'deliver')
    after(someTime(world.random), () => { world.setFate(() => 'deliver') })
  }
}

function strikeUpstream (fate: AgentNode['upstream']['fate']): SoakFault['strike'] {
  return (world, after) => {
    const agent = pick(world.random, world.agents())
    if (agent === undefined) return
    agent.upstream.fate = fate
    after(someTime(world.random), () => { agent.upstream.fate = 'answer' })
  }
}

function loseLog (world: SimulatedFleet, after: ScheduleAfter): void {
  const entry = pick(world.random, world.entries())
  if (entry === undefined) return
  entry.reachesLog = false
  after(someTime(world.random), () => { entry.reachesLog = true })
}

function outage (world: SimulatedFleet, after: ScheduleAfter): void {
  world.log.isDown = true
  after(someTime(world.random), () => { world.log.isDown = false })
}

function slowLog (world: SimulatedFleet, after: ScheduleAfter): void {
  world.log.delayMilliseconds = 200 + world.random.below(2_500)
  after(someTime(world.random), () => { world.log.delayMilliseconds = 5 })
}

function lossyLog (world: SimulatedFleet, after: ScheduleAfter): void {
  world.log.losesAcknowledgements = true
  after(someTime(world.random), () => { world.log.losesAcknowledgements = false })
}

function stopSome (world: SimulatedFleet, nodes: readonly (EntryNode | AgentNode)[], fewest: number): void {
  const node = pick(world.random, nodes)
  if (node !== undefined && nodes.length > fewest) world.stop(node)
}

/** Two operators publish the same template against the version that one entry knows. */
function publish (world: SimulatedFleet): void {
  const register = `template/${TEMPLATE_NAME}`
  const known = pick(world.random, world.entries())?.core.components.projection.read(register)
  if (known === undefined) return
  for (const operator of ['first', 'second']) {
    const value = { ...known.value as object, expectedMilliseconds: 50 + world.random.below(500) }
    world.log.append({
      author: `operator-${operator}`,
      nonce: seededNonce(world.random, world.now()),
      changes: [{ kind: 'write', register, replaces: known.version, value }]
    }, world.now(), () => true)
  }
}

/** All kinds of faults, joins, leaves and publications. */
export const SOAK_FAULTS: readonly SoakFault[] = [
  { name: 'entry dies', strike: killEntry },
  { name: 'agent dies', strike: killAgent },
  {
    name: 'entry and agent die',
    strike: (world: SimulatedFleet): void => {
      killEntry(world)
      killAgent(world)
    }
  },
  { name: 'entry pauses', strike: (world: SimulatedFleet): void => { pauseSome(world, world.entries()) } },
  { name: 'agent pauses', strike: (world: SimulatedFleet): void => { pauseSome(world, world.agents()) } },
  { name: 'one direction cut', strike: cutSome },
  { name: 'process isolated', strike: isolateSome },
  { name: 'messages lost', strike: strikeMail('lose', 4) },
  { name: 'messages repeated', strike: strikeMail('repeat', 2) },
  { name: 'messages delayed', strike: strikeMail('delay', 5) },
  { name: 'messages overtaken', strike: strikeMail('overtaken', 2) },
  { name: 'upstream loses answers', strike: strikeUpstream('answer-lost') },
  { name: 'upstream fails', strike: strikeUpstream('fail') },
  { name: 'upstream refuses connections', strike: strikeUpstream('refuse-connection') },
  { name: 'entry without log', strike: loseLog },
  { name: 'log down', strike: outage },
  { name: 'log slow', strike: slowLog },
  { name: 'log loses acknowledgements', strike: lossyLog },
  { name: 'entry stops as planned', strike: (world: SimulatedFleet): void => { stopSome(world, world.entries(), FEWEST_ENTRIES) } },
  { name: 'agent stops as planned', strike: (world: SimulatedFleet): void => { stopSome(world, world.agents(), FEWEST_AGENTS) } },
  { name: 'entry joins', strike: (world: SimulatedFleet): void => { if (world.entries().length < MOST_ENTRIES) world.addEntry() } },
  { name: 'agent joins', strike: (world: SimulatedFleet): void => { if (world.agents().length < MOST_AGENTS) world.addAgent() } },
  { name: 'configuration published', strike: publish }
]
