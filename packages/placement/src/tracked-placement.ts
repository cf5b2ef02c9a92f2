/** Common base of the placements: outstanding tasks by agent, learned run times, and ejection of faulty agents. */
import type { WaitingTask } from '@baobabpost/admission'
import type { AgentIdentity } from '@baobabpost/common'
import { eject, ejectionReason, type EjectionReason, isAttributableToAgent, recordOutcome, recordProbeSuccess, recordSpeed, startProbing } from './agent-health.js'
import { addOutstanding, type AgentState, createAgentState, recordWait, removeOutstanding, freeCapacityOf } from './agent-state.js'
import { createFailureRecord } from './failure-record.js'
import { overdueEjectionReason, countOverdueTasks } from './overdue-tasks.js'
import { type PlaceableAgent, Placement, type PlacementEvent, type PlacementResult } from './placement.js'
import { createRunTimeModel, isSlowRun } from './run-time-model.js'

const MEAN_RUN_TIME_GAIN = 0.05
const MAXIMUM_EJECTED_SHARE = 1 / 3
const MINIMUM_AGENTS_TO_EJECT = 2

export interface ServiceState {
  readonly agents: AgentState[]
  /** Mean run time at reference speed; undefined before the first run. */
  meanMilliseconds: number | undefined
}

/** Placement that tracks outstanding tasks and the health of agents; subclasses choose the agent for a task. */
export abstract class TrackedPlacement extends Placement {
  protected readonly model = createRunTimeModel()
  protected readonly failures = createFailureRecord()
  readonly #agents = new Map<AgentIdentity, AgentState>()
  readonly #services = new Map<string, ServiceState>()
  #events: PlacementEvent[] = []
  #lastUpdateAt = 0

  /** Picks an agent for which `mayTake` holds; undefined if the task should keep waiting. */
  protected abstract pick (
    service: ServiceState, task: WaitingTask, now: number, waitingCount: number
  ): AgentState | undefined

  override setAgent (agent: PlaceableAgent): void {
    const known = this.#agents.get(agent.identity)
    if (known !== undefined) {
      known.agent = agent
      return
    }
    const service = this.#service(agent.service)
    const state = createAgentState(agent, meanFactorLogarithm(service), this.#lastUpdateAt)
    this.#agents.set(agent.identity, state)
    service.agents.push(state)
  }

  override removeAgent (identity: AgentIdentity): void {
    const state = this.#agents.get(identity)
    if (state === undefined) return
    this.#agents.delete(identity)
    this.failures.removeAgent(identity)
    const { agents } = this.#service(state.agent.service)
    agents.splice(agents.indexOf(state), 1)
  }

  override setWindow (identity: AgentIdentity, window: number): void {
    const state = this.#agents.get(identity)
    if (state !== undefined) state.window = window
  }

  override hasFreeCapacity (service: string): boolean {
    return this.agentsOf(service).some(state => freeCapacityOf(state) > 0)
  }

  override choose (task: WaitingTask, now: number, waitingCount: number): AgentIdentity | undefined {
    const service = this.#services.get(task.service)
    if (service === undefined) return undefined
    return this.pick(service, task, now, waitingCount)?.agent.identity
  }

  override recordDispatch (identity: AgentIdentity, task: WaitingTask, now: number): void {
    const state = this.#agents.get(identity)
    if (state === undefined) return
    addOutstanding(state, task, now)
  }

  override recordResult (
    identity: AgentIdentity, task: WaitingTask, result: PlacementResult, runMilliseconds: number, now: number
  ): void {
    this.#lastUpdateAt = now
    const state = this.#agents.get(identity)
    if (state === undefined) return
    const outstanding = removeOutstanding(state, task)
    if (outstanding === undefined || result === 'refused') return
    if (result === 'succeeded') recordWait(state, now - outstanding.dispatchedAt - runMilliseconds)
    const isSlow = result === 'succeeded' && this.#learnSpeed(state, task.template, runMilliseconds)
    if (result === 'succeeded' && !isSlow) state.lastNormalCompletionAt = now
    const isAttributable = this.#learnOutcome(state, task.template, result !== 'succeeded', now)
    if (isAttributable) this.#updateHealthStatus(state, outstanding.isProbe, result === 'succeeded', isSlow, now)
  }

  override expectedMilliseconds (template: string): number | undefined {
    return this.model.referenceMilliseconds(template)
  }

  override tick (now: number): readonly PlacementEvent[] {
    this.#lastUpdateAt = now
    for (const service of this.#services.values()) this.#checkAgents(service, now)
    const events = this.#events
    this.#events = []
    return events
  }

  protected agentsOf (service: string): readonly AgentState[] {
    return this.#services.get(service)?.agents ?? []
  }

  /** Number of additional tasks that the agent may get now; may depend on the kind of task. */
  protected freeCapacityFor (
    _service: ServiceState, state: AgentState, _task: WaitingTask, _waitingCount: number
  ): number {
    return freeCapacityOf(state)
  }

  /** Whether the agent may get the task now. */
  protected mayTake (
    service: ServiceState, state: AgentState, task: WaitingTask, now: number, waitingCount: number
  ): boolean {
    if (this.freeCapacityFor(service, state, task, waitingCount) <= 0) return false
    const { identity } = state.agent
    const excluded = task.excludedAgents
    // If all agents are excluded, any of them is better than none.
    if (excluded.length > 0 && excluded.length < service.agents.length && excluded.includes(identity)) return false
    if (!this.failures.hasFailingAgent(task.template)) return true
    return !this.failures.isPaused(task.template, identity, service.agents.length, now)
  }

  #service (name: string): ServiceState {
    let service = this.#services.get(name)
    if (service === undefined) {
      service = { agents: [], meanMilliseconds: undefined }
      this.#services.set(name, service)
    }
    return service
  }

  /** Learns run times from a successful run; returns whether the run was slow. */
  #learnSpeed (state: AgentState, template: string, runMilliseconds: number): boolean {
    const { speed, health } = state
    const referenceMilliseconds = this.model.referenceMilliseconds(template)
    const slowRunShare = this.model.slowRunShare(template)
    const isSlow = referenceMilliseconds !== undefined &&
      isSlowRun(runMilliseconds, referenceMilliseconds * Math.exp(speed.factorLogarithm))
    this.model.observe(template, speed, runMilliseconds, health.status === 'active')
    if (speed.observations > 1) recordSpeed(health, isSlow, slowRunShare)
    const service = this.#service(state.agent.service)
    const atReferenceMilliseconds = runMilliseconds / Math.exp(speed.factorLogarithm)
    service.meanMilliseconds = service.meanMilliseconds === undefined
      ? atReferenceMilliseconds
      : service.meanMilliseconds + MEAN_RUN_TIME_GAIN * (atReferenceMilliseconds - service.meanMilliseconds)
    return isSlow
  }

  /** Learns from a success or failure; returns whether it counts for or against the agent. */
  #learnOutcome (state: AgentState, template: string, hasFailed: boolean, now: number): boolean {
    const { identity } = state.agent
    const peerShare = this.failures.peerShare(template, identity)
    this.failures.observe(template, identity, hasFailed, now)
    recordOutcome(state.health, hasFailed, peerShare)
    return !hasFailed || isAttributableToAgent(peerShare)
  }

  #updateHealthStatus (state: AgentState, isProbe: boolean, hasSucceeded: boolean, isSlow: boolean, now: number): void {
    const { health } = state
    switch (health.status) {
      case 'active': {
        const reason = ejectionReason(health)
        if (reason !== undefined) this.#ejectIfAllowed(state, reason, now)
        return
      }
      case 'ejected':
        // A task that seemed to hang completed at normal speed, so that probing starts early.
        if (hasSucceeded && !isSlow) this.#probe(state, now)
        return
      case 'probing':
        if (!isProbe) return
        if (!hasSucceeded || isSlow) this.#ejectIfAllowed(state, hasSucceeded ? 'slow' : 'failing', now)
        else if (recordProbeSuccess(health, now)) this.#addEvent('returned', state, 'probes succeeded')
    }
  }

  #ejectIfAllowed (state: AgentState, reason: EjectionReason, now: number): void {
    const { agents } = this.#service(state.agent.service)
    if (state.health.status === 'active' && !mayEjectOneMore(agents)) return
    eject(state.health, now)
    this.#addEvent('ejected', state, reason)
  }

  #probe (state: AgentState, now: number): void {
    startProbing(state.health, now)
    this.#addEvent('probing', state, 'time passed')
  }

  #addEvent (kind: PlacementEvent['kind'], state: AgentState, reason: string): void {
    this.#events.push({ kind, agent: state.agent.identity, reason })
  }

  #checkAgents (service: ServiceState, now: number): void {
    const counts = service.agents.map(state => countOverdueTasks(state, this.model, service.meanMilliseconds ?? 0, now))
    let overdue = 0
    let outstanding = 0
    for (const count of counts) {
      overdue += count.overdue
      outstanding += count.outstanding
    }
    for (const [position, state] of service.agents.entries()) {
      const ownCount = counts[position]!
      if (state.health.status === 'ejected' && now >= state.health.ejectedUntil) this.#probe(state, now)
      if (ownCount.overdue === 0) continue
      const peers = { overdue: overdue - ownCount.overdue, outstanding: outstanding - ownCount.outstanding }
      const reason = overdueEjectionReason(ownCount, peers)
      if (reason === undefined) continue
      if (state.health.status === 'active') this.#ejectIfAllowed(state, reason, now)
      else if (state.health.status === 'probing' && ownCount.overdueProbes > 0) this.#ejectIfAllowed(state, reason, now)
    }
  }
}

/** Initial speed of a new agent: the mean of its peers, as a logarithm. */
function meanFactorLogarithm (service: ServiceState): number {
  let sum = 0
  let observedAgents = 0
  for (const { speed } of service.agents) {
    if (speed.observations === 0) continue
    sum += speed.factorLogarithm
    observedAgents += 1
  }
  return observedAgents === 0 ? 0 : sum / observedAgents
}

/** Whether the bound on agents that are ejected or probed at the same time allows another ejection. */
function mayEjectOneMore (agents: readonly AgentState[]): boolean {
  if (agents.length < MINIMUM_AGENTS_TO_EJECT) return false
  let ejectedCount = 0
  for (const { health } of agents) if (health.status !== 'active') ejectedCount += 1
  return ejectedCount < Math.max(1, Math.floor(agents.length * MAXIMUM_EJECTED_SHARE))
}
