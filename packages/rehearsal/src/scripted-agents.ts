/** An entry's dispatcher with agents that answer as a script says, without clock, timers or network. */
import { silentLogger } from '@baobabpost/common'
import { createDispatcher, type AgentView, type Dispatcher, type JobAnswer, type JobRequest, type JobStep } from '@baobabpost/dispatching'
import type { RunOutcome, RunReport, Size, Start, UpstreamCrash, UpstreamProfile, WatchAnswer } from '@baobabpost/fleet-calls'

const SERVICE = 'desk'
const INCARNATION = '1'
const FAILURE_DOMAIN = 'domain-1'
/** Largest number of reports in one answer, as of agents. */
const REPORTS_PER_ANSWER = 250
/** Interval of the ticks while runs are accepted, and the time in which they must be. */
const ROUND_MILLISECONDS = 20
const ACCEPTING_MILLISECONDS = 2_000
/** Size, estimate and constraints of a task without any; a job adds its own. */
export const PLAIN_STEP: JobStep = {
  taskCount: 1,
  size: { processor: 50, memory: 16, accelerators: 0 },
  estimateMilliseconds: 300,
  dependsOn: [],
  label: undefined,
  rack: undefined,
  maximumPerUpstream: undefined
}

/** Runs one call of the dispatcher, which is one turn of an entry's event loop. */
export type RunTurn = (name: string, turn: () => void) => void

/** Agents that answer as a script says. All times are on the entry's steady clock, in milliseconds. */
export interface ScriptedAgents {
  readonly dispatcher: Dispatcher
  /** Answers of jobs, in their order. */
  readonly answers: JobAnswer[]
  submit: (request: Pick<JobRequest, 'id' | 'steps'> & Partial<JobRequest>, now: number) => void
  /** Calls `tick`. */
  tick: (now: number) => void
  /** Accepts the runs of all unanswered start calls, but for those of silent agents. Returns their number. */
  acceptStarts: (now: number, silent?: ReadonlySet<string>) => number
  /**
   * Ticks until a number of runs are accepted.
   *
   * @returns the time then.
   * @throws Error if they are not within two seconds.
   */
  acceptAll: (runs: number, from: number) => number
  /** Returns the agent with the most runs. */
  busiest: () => string
  /** Reports an outcome for up to a number of runs of an agent in one answer. Returns their number. */
  endRuns: (agent: string, outcome: RunOutcome, maximum: number, now: number) => number
  /** Crashes the upstream of an agent, which tells this and the loss of all runs. */
  crash: (agent: string, now: number) => void
  /** Tells that an agent accepts no more work, or begins another incarnation of it. */
  change: (agent: string, change: 'leaves' | 'starts again', now: number) => void
  /** Answers a watch of each agent that is not silent, without reports. */
  answerWatches: (now: number, silent?: ReadonlySet<string>) => void
  /** Fails all calls to an agent. */
  silence: (agent: string, now: number) => void
  /** Names of the agents, in their order. */
  names: () => readonly string[]
  runningCount: (agent: string) => number
}

export interface ScriptedAgentsOptions {
  readonly agents: number
  readonly capacity: Size
  readonly runTurn?: RunTurn
  /** Requests a pass over the waiting jobs in the next turn; without it, passes follow answers at once. */
  readonly requestPass?: () => void
}

interface ScriptedAgent {
  readonly view: AgentView
  /** Runs by task, with their sizes. */
  readonly runs: Map<string, { readonly run: number, readonly size: Size, readonly route: string }>
  readonly starts: Start[]
  crashes: UpstreamCrash[]
  incarnation: string
  isAccepting: boolean
  profileVersion: number
  sequence: number
}

/**
 * Creates a dispatcher and the agents that it knows, with empty upstreams.
 *
 * @example
 * const agents = createScriptedAgents({ agents: 8, capacity })
 * agents.submit({ id: '5c0e7a21d94b36f8', steps: [{ ...PLAIN_STEP, taskCount: 2_000 }] }, 0)
 * agents.acceptStarts(10)
 */
export function createScriptedAgents (options: ScriptedAgentsOptions): ScriptedAgents {
  const runTurn = options.runTurn ?? ((_name, turn) => { turn() })
  const agents = new Map<string, ScriptedAgent>()
  const answers: JobAnswer[] = []
  const dispatcher = createDispatcher({
    entry: 'entry-1',
    incarnation: INCARNATION,
    failureDomain: FAILURE_DOMAIN,
    logger: silentLogger,
    sendStart: (view, start) => { agents.get(view.name)?.starts.push(start) },
    sendStop: () => {},
    ...(options.requestPass === undefined ? {} : { requestPass: options.requestPass })
  })

  function agentOf (name: string): ScriptedAgent {
    const agent = agents.get(name)
    if (agent === undefined) throw new Error(`no agent ${name}`)
    return agent
  }

  function profileOf (agent: ScriptedAgent): UpstreamProfile {
    return {
      version: agent.profileVersion,
      service: SERVICE,
      failureDomain: FAILURE_DOMAIN,
      capacity: options.capacity,
      labels: [],
      accepting: agent.isAccepting,
      ...(agent.crashes.length === 0 ? {} : { crashes: { crashes: agent.crashes, cleared: [] } })
    }
  }

  function stateOf (agent: ScriptedAgent, now: number, hasProfile: boolean): Omit<WatchAnswer, 'reports'> {
    const free = { ...options.capacity }
    for (const { size } of agent.runs.values()) {
      free.processor -= size.processor
      free.memory -= size.memory
    }
    const releaseRate = (options.capacity.processor - free.processor) / PLAIN_STEP.estimateMilliseconds
    return {
      incarnation: agent.incarnation,
      clock: now,
      cleared: true,
      room: { free, waiting: [], releaseRate, slowness: 1, failureShare: 0 },
      ...(hasProfile ? { profile: profileOf(agent) } : {})
    }
  }

  function answerWatch (agent: ScriptedAgent, reports: readonly RunReport[], now: number, hasProfile = false): void {
    const answer = { ...stateOf(agent, now, hasProfile), reports }
    runTurn('watchAnswered', () => { dispatcher.watchAnswered(agent.view, answer, now) })
  }

  function takeRun (agent: ScriptedAgent, task: string, outcome: RunOutcome): RunReport | undefined {
    const known = agent.runs.get(task)
    if (known === undefined) return undefined
    agent.runs.delete(task)
    agent.sequence += 1
    const milliseconds = PLAIN_STEP.estimateMilliseconds
    return { sequence: agent.sequence, task, run: known.run, outcome, reason: '', milliseconds }
  }

  function takeRuns (agent: ScriptedAgent, tasks: Iterable<string>, outcome: RunOutcome): RunReport[] {
    const reports: RunReport[] = []
    for (const task of tasks) {
      const report = takeRun(agent, task, outcome)
      if (report !== undefined) reports.push(report)
    }
    return reports
  }

  function tick (now: number): void {
    runTurn('tick', () => { dispatcher.tick(now) })
  }

  function acceptStarts (now: number, silent?: ReadonlySet<string>): number {
    let accepted = 0
    for (const agent of agents.values()) {
      if (silent?.has(agent.view.name) === true) continue
      for (const start of agent.starts.splice(0)) {
        for (const { task, run, size } of start.orders) agent.runs.set(task, { run, size, route: start.route ?? '' })
        accepted += start.orders.length
        const answer = { ...stateOf(agent, now, false), verdicts: start.orders.map(() => 'accepted') }
        runTurn('startAnswered', () => { dispatcher.startAnswered(agent.view, start, answer, now) })
      }
    }
    return accepted
  }

  for (let number = 1; number <= options.agents; number += 1) {
    const view = dispatcher.agentFound(`agent-${number}`, `10.1.0.${number}:7720`)
    if (view === undefined) continue
    const agent: ScriptedAgent = {
      view,
      runs: new Map(),
      starts: [],
      crashes: [],
      incarnation: INCARNATION,
      isAccepting: true,
      profileVersion: 1,
      sequence: 0
    }
    agents.set(view.name, agent)
    dispatcher.watchAnswered(view, { ...stateOf(agent, 0, true), reports: [] }, 0)
  }

  return {
    dispatcher,
    answers,
    submit: (request, now) => {
      const whole: JobRequest = {
        route: 'route',
        service: SERVICE,
        priority: 0,
        specification: '{}',
        maximumAttempts: 3,
        stretch: 10,
        targetLatencyMilliseconds: 5_000,
        arrivedAt: now,
        deadlineAt: now + 60_000,
        ...request
      }
      runTurn('submit', () => { dispatcher.submit(whole, answer => { answers.push(answer) }, now) })
    },
    tick,
    acceptStarts,
    acceptAll: (runs, from) => {
      let accepted = 0
      for (let now = from; now < from + ACCEPTING_MILLISECONDS; now += ROUND_MILLISECONDS) {
        accepted += acceptStarts(now)
        if (accepted >= runs) return now
        tick(now)
      }
      throw new Error(`expected ${runs} runs, got ${accepted}`)
    },
    busiest: () => {
      const [busiest] = [...agents.values()].sort((left, right) => right.runs.size - left.runs.size)
      return busiest?.view.name ?? ''
    },
    endRuns: (name, outcome, maximum, now) => {
      const agent = agentOf(name)
      const reports = takeRuns(agent, [...agent.runs.keys()].slice(0, maximum), outcome)
      if (reports.length > 0) answerWatch(agent, reports, now)
      return reports.length
    },
    crash: (name, now) => {
      const agent = agentOf(name)
      const candidates = [...agent.runs].map(([task, { route }]) => ({ task, route }))
      agent.profileVersion += 1
      agent.crashes = [...agent.crashes, { id: `${INCARNATION}/${name}/${agent.profileVersion}`, candidates }]
      const reports = takeRuns(agent, [...agent.runs.keys()], 'lost')
      for (let first = 0; first < reports.length; first += REPORTS_PER_ANSWER) {
        answerWatch(agent, reports.slice(first, first + REPORTS_PER_ANSWER), now, first === 0)
      }
    },
    change: (name, change, now) => {
      const agent = agentOf(name)
      agent.profileVersion += 1
      if (change === 'leaves') agent.isAccepting = false
      else agent.incarnation += '+'
      answerWatch(agent, [], now, true)
    },
    answerWatches: (now, silent) => {
      for (const agent of agents.values()) if (silent?.has(agent.view.name) !== true) answerWatch(agent, [], now)
    },
    silence: (name, now) => {
      const agent = agentOf(name)
      for (const start of agent.starts.splice(0)) {
        runTurn('startFailed', () => { dispatcher.startFailed(agent.view, start, false, now) })
      }
      runTurn('watchFailed', () => { dispatcher.watchFailed(agent.view, false, now) })
    },
    names: () => [...agents.keys()],
    runningCount: name => agentOf(name).runs.size
  }
}
