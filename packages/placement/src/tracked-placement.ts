/** What all placements share: the accounts of windows, learned run times, and the ejection of bad workers. */
import type { WaitingTask } from '@baobabpost/admission'
import type { AgentIdentity } from '@baobabpost/common'
import { eject, ejectionReason, type EjectionReason, isTelling, noteOutcome, noteProbeSuccess, noteSpeed, startProbing } from './agent-health.js'
import { addOutstanding, type AgentState, createAgentState, noteWait, removeOutstanding, roomOf } from './agent-state.js'
import { createFailureRecord } from './failure-record.js'
import { overdueReason, overdueTasks } from './overdue-tasks.js'
import { type PlaceableAgent, Placement, type PlacementEvent, type PlacementResult } from './placement.js'
import { createRunTimeModel, SLOW_RATIO } from './run-time-model.js'

const SERVICE_TIME_GAIN = 0.05
const EJECTED_SHARE = 1 / 3
const LEAST_AGENTS_TO_EJECT = 2

/** Agents of one service. */
export interface ServiceState {
  readonly agents: AgentState[]
  /** Mean run time at reference speed, milliseconds; undefined before the first run. */
  meanMilliseconds: number | undefined
}

/** Accounts and learning; what varies is how an agent is picked. */
export abstract class TrackedPlacement extends Placement {
  protected readonly model = createRunTimeModel()
  protected readonly failures = createFailureRecord()
  readonly #agents = new Map<AgentIdentity, AgentState>()
  readonly #services = new Map<string, ServiceState>()
  #events: PlacementEvent[] = []
  #latest = 0

  /** Picks an agent that `mayTake` the task, or none if it should wait. */
  protected abstract pick (
    service: ServiceState, task: WaitingTask, now: number, waiting: number
  ): AgentState | undefined

  override setAgent (agent: PlaceableAgent): void {
    const known = this.#agents.get(agent.identity)
    if (known !== undefined) {
      known.agent = agent
      return
    }
    const service = this.#service(agent.service)
    const state = createAgentState(agent, meanSpeed(service), this.#latest)
    this.#agents.set(agent.identity, state)
    service.agents.push(state)
  }

  override removeAgent (identity: AgentIdentity): void {
    const state = this.#agents.get(identity)
    if (state === undefined) return
    this.#agents.delete(identity)
    this.failures.forget(identity)
    const { agents } = this.#service(state.agent.service)
    agents.splice(agents.indexOf(state), 1)
  }

  override setWindow (identity: AgentIdentity, window: number): void {
    const state = this.#agents.get(identity)
    if (state !== undefined) state.window = window
  }

  override hasFreeCapacity (service: string): boolean {
    return this.agentsOf(service).some(state => roomOf(state) > 0)
  }

  override choose (task: WaitingTask, now: number, waiting: number): AgentIdentity | undefined {
    const service = this.#services.get(task.service)
    if (service === undefined) return undefined
    return this.pick(service, task, now, waiting)?.agent.identity
  }

  override recordDispatch (identity: AgentIdentity, task: WaitingTask, now: number): void {
    const state = this.#agents.get(identity)
    if (state === undefined) return
    addOutstanding(state, task, now)
  }

  override recordResult (
    identity: AgentIdentity, task: WaitingTask, result: PlacementResult, runMilliseconds: number, now: number
  ): void {
    this.#latest = now
    const state = this.#agents.get(identity)
    if (state === undefined) return
    const outstanding = removeOutstanding(state, task)
    if (outstanding === undefined || result === 'refused') return
    if (result === 'succeeded') noteWait(state, now - outstanding.dispatchedAt - runMilliseconds)
    const slow = result === 'succeeded' && this.#learnSpeed(state, task.template, runMilliseconds)
    if (result === 'succeeded' && !slow) state.lastNormalEndAt = now
    const telling = this.#learnOutcome(state, task.template, result !== 'succeeded', now)
    if (telling) this.#judge(state, outstanding.probe, result === 'succeeded', slow, now)
  }

  override expectedMilliseconds (template: string): number | undefined {
    return this.model.reference(template)
  }

  override tick (now: number): readonly PlacementEvent[] {
    this.#latest = now
    for (const service of this.#services.values()) this.#examine(service, now)
    const events = this.#events
    this.#events = []
    return events
  }

  protected agentsOf (service: string): readonly AgentState[] {
    return this.#services.get(service)?.agents ?? []
  }

  /** Number of further tasks like this that the agent may get now. */
  protected roomFor (_service: ServiceState, state: AgentState, _task: WaitingTask, _waiting: number): number {
    return roomOf(state)
  }

  /** Whether the agent may get the task now. */
  protected mayTake (
    service: ServiceState, state: AgentState, task: WaitingTask, now: number, waiting: number
  ): boolean {
    if (this.roomFor(service, state, task, waiting) <= 0) return false
    const { identity } = state.agent
    const excluded = task.excludedAgents
    // Where all agents are excluded, any is better than none.
    if (excluded.length > 0 && excluded.length < service.agents.length && excluded.includes(identity)) return false
    if (!this.failures.hasFailing(task.template)) return true
    return !this.failures.paused(task.template, identity, service.agents.length, now)
  }

  #service (name: string): ServiceState {
    let service = this.#services.get(name)
    if (service === undefined) {
      service = { agents: [], meanMilliseconds: undefined }
      this.#services.set(name, service)
    }
    return service
  }

  /** Learns from a run; returns whether it was slow. */
  #learnSpeed (state: AgentState, template: string, runMilliseconds: number): boolean {
    const { speed, health } = state
    const reference = this.model.reference(template)
    const slowShare = this.model.slowRunShare(template)
    const ratio = reference === undefined ? 1 : runMilliseconds / (reference * Math.exp(speed.logarithm))
    const slow = ratio > SLOW_RATIO
    this.model.observe(template, speed, runMilliseconds, health.standing === 'active')
    if (speed.observations > 1) noteSpeed(health, slow, slowShare)
    const service = this.#service(state.agent.service)
    const atReference = runMilliseconds / Math.exp(speed.logarithm)
    service.meanMilliseconds = service.meanMilliseconds === undefined
      ? atReference
      : service.meanMilliseconds + SERVICE_TIME_GAIN * (atReference - service.meanMilliseconds)
    return slow
  }

  /** Learns from an outcome; returns whether it tells anything of the worker. */
  #learnOutcome (state: AgentState, template: string, failed: boolean, now: number): boolean {
    const { identity } = state.agent
    const peerShare = this.failures.peerShare(template, identity)
    this.failures.observe(template, identity, failed, now)
    noteOutcome(state.health, failed, peerShare)
    return !failed || isTelling(peerShare)
  }

  #judge (state: AgentState, probe: boolean, succeeded: boolean, slow: boolean, now: number): void {
    const { health } = state
    switch (health.standing) {
      case 'active': {
        const reason = ejectionReason(health)
        if (reason !== undefined) this.#eject(state, reason, now)
        return
      }
      case 'ejected':
        // What hung goes on after all: no need to wait longer with the probe.
        if (succeeded && !slow) this.#probe(state, now)
        return
      case 'probing':
        if (!probe) return
        if (!succeeded || slow) this.#eject(state, succeeded ? 'slow' : 'failing', now)
        else if (noteProbeSuccess(health, now)) this.#note('returned', state, 'probes succeeded')
    }
  }

  #eject (state: AgentState, reason: EjectionReason, now: number): void {
    const { agents } = this.#service(state.agent.service)
    if (state.health.standing === 'active' && !mayEjectOneMore(agents)) return
    eject(state.health, now)
    this.#note('ejected', state, reason)
  }

  #probe (state: AgentState, now: number): void {
    startProbing(state.health, now)
    this.#note('probing', state, 'time passed')
  }

  #note (kind: PlacementEvent['kind'], state: AgentState, reason: string): void {
    this.#events.push({ kind, agent: state.agent.identity, reason })
  }

  #examine (service: ServiceState, now: number): void {
    const counts = service.agents.map(state => overdueTasks(state, this.model, service.meanMilliseconds ?? 0, now))
    let overdue = 0
    let outstanding = 0
    for (const count of counts) {
      overdue += count.overdue
      outstanding += count.outstanding
    }
    for (const [position, state] of service.agents.entries()) {
      const own = counts[position]!
      if (state.health.standing === 'ejected' && now >= state.health.ejectedUntil) this.#probe(state, now)
      if (own.overdue === 0) continue
      const others = { overdue: overdue - own.overdue, outstanding: outstanding - own.outstanding }
      const reason = overdueReason(own, others)
      if (reason === undefined) continue
      if (state.health.standing === 'active') this.#eject(state, reason, now)
      else if (state.health.standing === 'probing' && own.overdueProbes > 0) this.#eject(state, reason, now)
    }
  }
}

/** Starting point for the speed of a new agent: the mean of its peers, as a logarithm. */
function meanSpeed (service: ServiceState): number {
  let sum = 0
  let known = 0
  for (const { speed } of service.agents) {
    if (speed.observations === 0) continue
    sum += speed.logarithm
    known += 1
  }
  return known === 0 ? 0 : sum / known
}

/** Whether the bound on agents that are out at once allows one more. */
function mayEjectOneMore (agents: readonly AgentState[]): boolean {
  if (agents.length < LEAST_AGENTS_TO_EJECT) return false
  let out = 0
  for (const { health } of agents) if (health.standing !== 'active') out += 1
  return out < Math.max(1, Math.floor(agents.length * EJECTED_SHARE))
}
