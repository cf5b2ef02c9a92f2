/** State of an entry's dispatcher and the operations that it needs from its environment. */
import type { EventLogger } from '@baobabpost/common'
import type { EvacuationRegister, RunOrder, Start, Stop, TellOpenOrders, UpstreamCrash } from '@baobabpost/fleet-calls'
import type { Admission } from './admission.js'
import type { AgentView } from './agent-view.js'
import type { AssignedTasks } from './assigned-tasks.js'
import type { Confinements } from './confinement.js'
import type { CrashEvidence } from './crash-evidence.js'
import type { Job } from './job.js'
import type { OpenOrders } from './open-orders.js'
import type { Placement } from './placement.js'
import type { PlanInProgress } from './plan.js'
import type { RefusalLedger } from './refusal-ledger.js'
import type { RouteDemand } from './route-demand.js'
import type { RunTimeEstimates } from './run-time-estimates.js'
import type { StopQueue } from './stop-queue.js'
import type { SuspectAgents } from './suspect-agents.js'

/** Operations that the dispatcher needs from its environment. */
export interface DispatcherPorts {
  /** Sends a start call; its result is passed to `startAnswered` or `startFailed`. */
  sendStart: (view: AgentView, start: Start) => void
  /** Sends a stop call; its result is passed to `stopAnswered` or `stopFailed`. */
  sendStop: (view: AgentView, stop: Stop) => void
  /** Called after an agent has told newer evacuations; the change is logged. */
  evacuationsChanged?: (source: string) => void
  /** Tells an agent crashes of other upstreams, which need no answer. */
  tellCrashes?: (view: AgentView, crashes: readonly UpstreamCrash[]) => void
  /** Tells an agent open orders of another one that does not answer, which need no answer. */
  tellOpenOrders?: (view: AgentView, orders: TellOpenOrders['orders']) => void
  /**
   * Asks for a call of `assign` in the next turn of the event loop. Without it, each answer of an agent may be followed
   * by a pass over the waiting jobs, and the next tick goes on with what a pass has left.
   */
  requestPass?: () => void
  readonly logger: EventLogger
}

export interface DispatcherState {
  readonly entry: string
  readonly incarnation: string
  readonly failureDomain: string
  readonly placement: Placement
  readonly admission: Admission
  /** What was promised to callers whose jobs were refused for lack of capacity. */
  readonly refusals: RefusalLedger
  readonly runTimes: RunTimeEstimates
  /** The evacuated failure domains; undefined where evacuations are not enabled. */
  readonly evacuations: EvacuationRegister | undefined
  readonly crashes: CrashEvidence
  readonly demand: RouteDemand
  readonly confinements: Confinements
  /** Agents by name. */
  readonly agents: Map<string, AgentView>
  /** Jobs without a final answer, or with tasks that still run, by identity. */
  readonly jobs: Map<string, Job>
  /** Plans that the next pass continues. */
  readonly plans: Map<Job, PlanInProgress>
  /** Tasks that are assigned or being stopped. */
  readonly assigned: AssignedTasks
  /** Agents with such tasks under which upstreams have crashed. */
  readonly suspects: SuspectAgents
  /** Tasks that only one agent may get, as its upstream may yet carry out an earlier order. */
  readonly openOrders: OpenOrders
  readonly stops: StopQueue
  /** Jobs with tasks that wait to be sent. */
  waiting: Set<Job>
  /** Position, among the waiting jobs behind the first ones, of the next job that a pass tries. */
  nextTurn: number
  /** Whether the last pass had to leave a part of its work to the next turn of the event loop. */
  isPassUnfinished: boolean
  /** When this entry began to place jobs, on its steady clock in milliseconds. */
  startedAt: number
  /** When the last pass over the waiting jobs began, on the entry's steady clock in milliseconds. */
  lastAssignPassAt: number
  /** When changed shares of upstreams were last looked for. */
  lastShareLogAt: number
}

/** Orders of one job that are to be sent to one agent. */
export interface PendingOrders {
  readonly view: AgentView
  readonly orders: RunOrder[]
  maximumWaitMilliseconds: number
  /** Whether the agent accepts the orders only if it expects all of them to start within the maximum wait. */
  isWhole: boolean
}
