/** Simulated fleet in one process: the real programs of entries and agents, stand-in upstreams, and callers. */
import { silentLogger, type EventLogger } from '@baobabpost/common'
import {
  startEntryProgram, type Admission, type EntryProgram, type JobAnswer, type JobStep, type Placement,
  type RunTimeEstimates
} from '@baobabpost/dispatching'
import {
  createEvacuationRegister, type CallClient, type CallConnection, type CallHandlers, type EvacuationRegister
} from '@baobabpost/fleet-calls'
import { startAgentProgram, type AgentProgram, type Upstream } from '@baobabpost/runs'
import { createLeasedUpstream } from './leased-upstream.js'
import type { LeasedUpstream, LeasedUpstreamOptions, StandInTask } from './leased-upstream-options.js'
import { createMemoryNetwork, type MemoryNetwork } from './memory-network.js'
import { createRunLog, type RunLog } from './run-log.js'

/** Service of all upstreams and routes. */
export const SERVICE = 'desk'
/** Interval of the upstreams' heartbeats. */
const HEARTBEAT_MILLISECONDS = 1_500
/** Time after which a caller whose connection broke resubmits its job. */
export const RESEND_MILLISECONDS = 1_300

/** State of a simulated process. Messages to or from a killed process are dropped. */
interface ProcessState {
  isKilled: boolean
}

/** An entry of the simulated fleet. */
export interface FleetEntry {
  readonly name: string
  readonly address: string
  program: EntryProgram
  /** What the entry knows of evacuated failure domains; a restarted entry knows nothing at first. */
  evacuations: EvacuationRegister
  processState: ProcessState
}

/** An agent of the simulated fleet with its stand-in upstream. */
export interface FleetAgent {
  readonly name: string
  readonly address: string
  readonly standIn: LeasedUpstream
  program: AgentProgram
  processState: ProcessState
}

/** A job of one step as a caller submits it. */
export interface FleetJob {
  readonly id: string
  /** `route` by default. */
  readonly route?: string
  readonly standInTask: StandInTask
  readonly taskCount: number
  readonly priority?: number
  readonly maximumAttempts?: number
  readonly estimateMilliseconds?: number
  readonly deadlineMilliseconds?: number
}

/** One submission of a job; a caller may submit the same job again. */
export interface JobSubmission {
  /** Final answer; undefined before it arrives. */
  answer: JobAnswer | undefined
  answeredAt: number
  readonly sentAt: number
  /** Disconnects the caller. */
  leave: () => void
}

/** A simulated fleet. */
export interface Fleet {
  readonly entries: readonly FleetEntry[]
  readonly agents: readonly FleetAgent[]
  readonly network: MemoryNetwork
  readonly runLog: RunLog
  send: (entry: FleetEntry, job: FleetJob) => JobSubmission
  killEntry: (entry: FleetEntry) => void
  startEntry: (entry: FleetEntry) => void
  killAgent: (agent: FleetAgent) => void
  startAgent: (agent: FleetAgent) => void
}

export interface FleetOptions {
  readonly entries: number
  /** Capacity, speed and labels of each upstream, as in `LeasedUpstreamOptions`; each gets an agent. */
  readonly upstreams: ReadonlyArray<Pick<LeasedUpstreamOptions, 'capacity' | 'speed' | 'labels'>>
  readonly placement?: () => Placement
  readonly admission?: () => Admission
  /** Run times that entries plan with. */
  readonly runTimes?: () => RunTimeEstimates
  /** Part of each run time that does not depend on the task or the upstream, in milliseconds; 0 by default. */
  readonly fixedMilliseconds?: number
  readonly logger?: EventLogger
  /** Whether delayed orders also reach the next instance of an upstream; false by default. */
  readonly keepsDelayedOrders?: boolean
  /** Number of failure domains, over which entries and agents are dealt in turn; 1 by default. */
  readonly failureDomains?: number
}

function pause (milliseconds: number): Promise<void> {
  return new Promise(resolve => { setTimeout(resolve, milliseconds) })
}

function killableClient (client: CallClient, processState: ProcessState): CallClient {
  return {
    call: (address, name, parameters, timeout) => new Promise((resolve, reject) => {
      if (processState.isKilled) return
      client.call(address, name, parameters, timeout).then(
        answer => { if (!processState.isKilled) resolve(answer) },
        (failure: Error) => { if (!processState.isKilled) reject(failure) }
      )
    }),
    close: () => {}
  }
}

function killableUpstream (upstream: Upstream, processState: ProcessState): Upstream {
  const unlessKilled = <Answer>(send: () => Promise<Answer>): Promise<Answer> => new Promise((resolve, reject) => {
    if (processState.isKilled) return
    send().then(answer => { if (!processState.isKilled) resolve(answer) }, reject)
  })
  return {
    start: (order, timeout) => unlessKilled(() => upstream.start(order, timeout)),
    stop: (order, timeout) => unlessKilled(() => upstream.stop(order, timeout)),
    list: (order, timeout) => unlessKilled(() => upstream.list(order, timeout))
  }
}

function killableHandlers (handlers: CallHandlers, processState: ProcessState): CallHandlers {
  const killableByName: Record<string, (parameters: never, connection: CallConnection) => unknown> = {}
  for (const [name, handle] of Object.entries(handlers)) {
    const answer = handle as (parameters: never, connection: CallConnection) => unknown
    killableByName[name] = (parameters: never, connection) =>
      processState.isKilled ? new Promise(() => {}) : answer(parameters, connection)
  }
  return killableByName
}

/**
 * Starts a fleet. It uses the global timers, so that a test can control the time with fake timers.
 *
 * @example
 * const fleet = createFleet({ entries: 2, upstreams: [{ capacity, speed: 1 }] })
 * const submission = fleet.send(fleet.entries[0], { id: '5c0e7a21d94b36f8', standInTask, taskCount: 4 })
 */
export function createFleet (options: FleetOptions): Fleet {
  const now = (): number => performance.now()
  const logger = options.logger ?? silentLogger
  const network = createMemoryNetwork()
  const runLog = createRunLog(now)
  const entryDomains = new Map<string, number>()
  const submissions = new Map<string, JobSubmission>()
  let incarnationCount = 0

  function domainAt (index: number): string {
    return `domain-${index % (options.failureDomains ?? 1) + 1}`
  }

  function launchEntry (name: string, address: string): Pick<FleetEntry, 'program' | 'processState' | 'evacuations'> {
    incarnationCount += 1
    const processState: ProcessState = { isKilled: false }
    const evacuations = createEvacuationRegister()
    const program = startEntryProgram({
      evacuations,
      entry: name,
      incarnation: String(incarnationCount),
      failureDomain: domainAt(entryDomains.get(name) ?? 0),
      client: killableClient(network.clientAt(address), processState),
      logger: { ...logger, info: (event, fields) => { logger.info(event, { entry: name, ...fields }) } },
      now,
      ...(options.placement === undefined ? {} : { placement: options.placement() }),
      ...(options.admission === undefined ? {} : { admission: options.admission() }),
      ...(options.runTimes === undefined ? {} : { runTimes: options.runTimes() })
    })
    for (const agent of agents) program.agentFound(agent.name, agent.address)
    return { program, processState, evacuations }
  }

  function launchAgent (address: string, standIn: LeasedUpstream): Pick<FleetAgent, 'program' | 'processState'> {
    incarnationCount += 1
    const processState: ProcessState = { isKilled: false }
    const program = startAgentProgram({
      upstream: killableUpstream(standIn.upstream, processState),
      incarnation: String(incarnationCount),
      fencingToken: Date.now(),
      logger,
      now
    })
    network.listen(address, killableHandlers(program.handlers, processState))
    sendHeartbeats(program, standIn, processState).catch((failure: unknown) => { throw failure })
    return { program, processState }
  }

  async function sendHeartbeats (
    program: AgentProgram, standIn: LeasedUpstream, processState: ProcessState
  ): Promise<void> {
    while (!processState.isKilled) {
      if (!standIn.isDown()) {
        const heartbeat = standIn.report()
        if (program.handleHeartbeat(heartbeat)) standIn.acknowledge(heartbeat)
      }
      await pause(HEARTBEAT_MILLISECONDS)
    }
  }

  const agents: FleetAgent[] = options.upstreams.map(({ capacity, speed, labels = [] }, index) => {
    const name = `agent-${index + 1}`
    const address = `10.1.0.${index + 1}:7720`
    const standIn = createLeasedUpstream({
      name: `upstream-${index + 1}`,
      service: SERVICE,
      failureDomain: domainAt(index),
      capacity,
      labels,
      speed,
      fixedMilliseconds: options.fixedMilliseconds ?? 0,
      keepsDelayedOrders: options.keepsDelayedOrders === true,
      now,
      observer: runLog
    })
    return { name, address, standIn, ...launchAgent(address, standIn) }
  })
  const entries: FleetEntry[] = Array.from({ length: options.entries }, (_, index) => {
    const name = `entry-${index + 1}`
    entryDomains.set(name, index)
    const address = `10.2.0.${index + 1}:7720`
    return { name, address, ...launchEntry(name, address) }
  })

  function send (entry: FleetEntry, job: FleetJob): JobSubmission {
    const { processState } = entry
    const arrivedAt = now()
    const estimateMilliseconds = job.estimateMilliseconds ?? job.standInTask.milliseconds
    const step: JobStep = {
      taskCount: job.taskCount,
      size: job.standInTask.size,
      estimateMilliseconds,
      dependsOn: [],
      label: job.standInTask.requires?.label,
      rack: undefined,
      maximumPerUpstream: undefined
    }
    let hasLeft = false
    const submission: JobSubmission = { answer: undefined, answeredAt: 0, sentAt: arrivedAt, leave: () => {} }
    const earlier = submissions.get(job.id)
    if (earlier !== undefined) runLog.sentAgain(job.id, earlier.answer !== undefined)
    submissions.set(job.id, submission)
    const withdraw = entry.program.dispatcher.submit({
      id: job.id,
      route: job.route ?? 'route',
      service: SERVICE,
      priority: job.priority ?? 0,
      specification: JSON.stringify(job.standInTask),
      steps: [step],
      maximumAttempts: job.maximumAttempts ?? 2,
      stretch: 1.6,
      targetLatencyMilliseconds: 60,
      arrivedAt,
      deadlineAt: arrivedAt + (job.deadlineMilliseconds ?? 3_000)
    }, answer => {
      if (processState.isKilled || hasLeft) return
      submission.answer = answer
      submission.answeredAt = now()
      runLog.answered(job.id, answer, false)
    }, now())
    submission.leave = () => {
      hasLeft = true
      if (!processState.isKilled) withdraw(now())
    }
    return submission
  }

  return {
    entries,
    agents,
    network,
    runLog,
    send,
    killEntry: entry => {
      entry.processState.isKilled = true
      entry.program.close()
    },
    startEntry: entry => { Object.assign(entry, launchEntry(entry.name, entry.address)) },
    killAgent: agent => {
      agent.processState.isKilled = true
      network.stopListening(agent.address)
    },
    startAgent: agent => { Object.assign(agent, launchAgent(agent.address, agent.standIn)) }
  }
}
