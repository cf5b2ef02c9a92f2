/** A whole fleet in one process: the real programs of entries and agents, leased upstreams, and callers. */
import { silentLogger, type EventLogger } from '@baobabpost/common'
import { startEntryProgram, type EntryProgram, type JobAnswer, type JobStep, type Placement } from '@baobabpost/dispatching'
import type { CallClient, CallConnection, CallHandlers, Size } from '@baobabpost/fleet-calls'
import { startAgentProgram, type AgentProgram, type Upstream } from '@baobabpost/runs'
import { createLeasedUpstream, type LeasedUpstream, type StandInTask } from './leased-upstream.js'
import { createMemoryNetwork, type MemoryNetwork } from './memory-network.js'
import { createRunLog, type RunLog } from './run-log.js'

const SERVICE = 'desk'
/** Interval of the upstreams' heartbeats. */
const HEARTBEAT_MILLISECONDS = 1_500
/** Time after which a caller whose connection broke sends its job again. */
export const RESEND_MILLISECONDS = 1_300

/** A process that can be killed: what it sends after that goes nowhere. */
interface Life {
  dead: boolean
}

/** An entry of the fleet. */
export interface FleetEntry {
  readonly name: string
  readonly address: string
  program: EntryProgram
  life: Life
}

/** An agent of the fleet with its upstream. */
export interface FleetAgent {
  readonly name: string
  readonly address: string
  readonly standIn: LeasedUpstream
  program: AgentProgram
  life: Life
}

/** A job that a caller sends. */
export interface FleetJob {
  readonly id: string
  readonly work: StandInTask
  readonly taskCount: number
  readonly priority?: number
  readonly maximumAttempts?: number
  readonly estimateMilliseconds?: number
  readonly deadlineMilliseconds?: number
}

/** One sending of a job. */
export interface JobSubmission {
  /** Undefined until it is answered. */
  answer: JobAnswer | undefined
  answeredAt: number
  /** The caller leaves, or its connection breaks. */
  leave: () => void
}

/** A fleet under rehearsal. */
export interface Fleet {
  readonly entries: readonly FleetEntry[]
  readonly agents: readonly FleetAgent[]
  readonly network: MemoryNetwork
  readonly ledger: RunLog
  send: (entry: FleetEntry, job: FleetJob) => JobSubmission
  killEntry: (entry: FleetEntry) => void
  startEntry: (entry: FleetEntry) => void
  killAgent: (agent: FleetAgent) => void
  startAgent: (agent: FleetAgent) => void
}

/** What a fleet is made from. */
export interface FleetOptions {
  readonly entries: number
  /** Capacity and speed of each upstream. */
  readonly upstreams: ReadonlyArray<{ readonly capacity: Size, readonly speed: number }>
  readonly placement?: () => Placement
  readonly logger?: EventLogger
}

function pause (milliseconds: number): Promise<void> {
  return new Promise(resolve => { setTimeout(resolve, milliseconds) })
}

function mortalClient (client: CallClient, life: Life): CallClient {
  return {
    call: (address, name, parameters, timeout) => new Promise((resolve, reject) => {
      if (life.dead) return
      client.call(address, name, parameters, timeout).then(
        answer => { if (!life.dead) resolve(answer) },
        (failure: Error) => { if (!life.dead) reject(failure) }
      )
    }),
    close: () => {}
  }
}

function mortalUpstream (upstream: Upstream, life: Life): Upstream {
  const guard = <Answer>(ask: () => Promise<Answer>): Promise<Answer> => new Promise((resolve, reject) => {
    if (life.dead) return
    ask().then(answer => { if (!life.dead) resolve(answer) }, reject)
  })
  return {
    start: (order, timeout) => guard(() => upstream.start(order, timeout)),
    stop: (order, timeout) => guard(() => upstream.stop(order, timeout)),
    list: (order, timeout) => guard(() => upstream.list(order, timeout))
  }
}

function mortalHandlers (handlers: CallHandlers, life: Life): CallHandlers {
  const guarded: Record<string, (parameters: never, connection: CallConnection) => unknown> = {}
  for (const [name, handle] of Object.entries(handlers)) {
    const answer = handle as (parameters: never, connection: CallConnection) => unknown
    guarded[name] = (parameters: never, connection) =>
      life.dead ? new Promise(() => {}) : answer(parameters, connection)
  }
  return guarded
}

/**
 * Starts a fleet. Its timers are the global ones, so that a test can inject the time.
 *
 * @example
 * const fleet = createFleet({ entries: 2, upstreams: [{ capacity, speed: 1 }] })
 * const sending = fleet.send(fleet.entries[0], { id: '5c0e7a21d94b36f8', work, taskCount: 4 })
 */
export function createFleet (options: FleetOptions): Fleet {
  const now = (): number => performance.now()
  const logger = options.logger ?? silentLogger
  const network = createMemoryNetwork()
  const ledger = createRunLog(now)
  let incarnations = 0

  function launchEntry (name: string, address: string): Pick<FleetEntry, 'program' | 'life'> {
    incarnations += 1
    const life: Life = { dead: false }
    const program = startEntryProgram({
      entry: name,
      incarnation: String(incarnations),
      failureDomain: 'domain-1',
      client: mortalClient(network.clientAt(address), life),
      logger,
      now,
      ...(options.placement === undefined ? {} : { placement: options.placement() })
    })
    for (const agent of agents) program.agentFound(agent.name, agent.address)
    return { program, life }
  }

  function launchAgent (address: string, standIn: LeasedUpstream): Pick<FleetAgent, 'program' | 'life'> {
    incarnations += 1
    const life: Life = { dead: false }
    const program = startAgentProgram({
      upstream: mortalUpstream(standIn.upstream, life),
      incarnation: String(incarnations),
      fencingToken: incarnations,
      logger,
      now
    })
    network.listen(address, mortalHandlers(program.handlers, life))
    beat(program, standIn, life).catch((failure: unknown) => { throw failure })
    return { program, life }
  }

  async function beat (program: AgentProgram, standIn: LeasedUpstream, life: Life): Promise<void> {
    while (!life.dead) {
      program.handleHeartbeat(standIn.report())
      await pause(HEARTBEAT_MILLISECONDS)
    }
  }

  const agents: FleetAgent[] = options.upstreams.map(({ capacity, speed }, index) => {
    const name = `agent-${index + 1}`
    const address = `10.1.0.${index + 1}:7720`
    const standIn = createLeasedUpstream({
      name: `upstream-${index + 1}`, service: SERVICE, capacity, speed, now, observer: ledger
    })
    return { name, address, standIn, ...launchAgent(address, standIn) }
  })
  const entries: FleetEntry[] = Array.from({ length: options.entries }, (_, index) => {
    const name = `entry-${index + 1}`
    const address = `10.2.0.${index + 1}:7720`
    return { name, address, ...launchEntry(name, address) }
  })

  function send (entry: FleetEntry, job: FleetJob): JobSubmission {
    const { life } = entry
    const arrivedAt = now()
    const estimateMilliseconds = job.estimateMilliseconds ?? job.work.milliseconds
    const step: JobStep = {
      taskCount: job.taskCount,
      size: job.work.size,
      estimateMilliseconds,
      dependsOn: [],
      label: undefined,
      rack: undefined,
      maximumPerUpstream: undefined
    }
    let left = false
    const sending: JobSubmission = { answer: undefined, answeredAt: 0, leave: () => {} }
    const withdraw = entry.program.dispatcher.submit({
      id: job.id,
      route: 'route',
      service: SERVICE,
      priority: job.priority ?? 0,
      specification: JSON.stringify(job.work),
      steps: [step],
      maximumAttempts: job.maximumAttempts ?? 2,
      stretch: 1.6,
      targetLatencyMilliseconds: 60,
      arrivedAt,
      deadlineAt: arrivedAt + (job.deadlineMilliseconds ?? 3_000)
    }, answer => {
      if (life.dead || left) return
      sending.answer = answer
      sending.answeredAt = now()
      ledger.answered(job.id, answer, false)
    }, now())
    sending.leave = () => {
      left = true
      if (!life.dead) withdraw(now())
    }
    return sending
  }

  return {
    entries,
    agents,
    network,
    ledger,
    send,
    killEntry: entry => {
      entry.life.dead = true
      entry.program.close()
    },
    startEntry: entry => { Object.assign(entry, launchEntry(entry.name, entry.address)) },
    killAgent: agent => {
      agent.life.dead = true
      network.silence(agent.address)
    },
    startAgent: agent => { Object.assign(agent, launchAgent(agent.address, agent.standIn)) }
  }
}
