/** State of an entry's dispatcher, and what it has others do. */
import type { EventLogger } from '@baobabpost/common'
import type { RunOrder, Start, Stop } from '@baobabpost/fleet-calls'
import type { AgentView } from './agent-view.js'
import type { Job, JobTask } from './job.js'
import type { Placement } from './placement.js'

/** What the dispatcher has others do. */
export interface DispatcherPorts {
  /** Sends a start; its answer comes back as `startAnswered` or `startFailed`. */
  sendStart: (view: AgentView, start: Start) => void
  /** Sends a stop; its answer comes back as `stopAnswered`, if any. */
  sendStop: (view: AgentView, stop: Stop) => void
  readonly logger: EventLogger
}

/** A task with its job. */
export interface TaskOfJob {
  readonly job: Job
  readonly task: JobTask
}

/** State of a dispatcher. */
export interface DispatcherState {
  readonly entry: string
  readonly incarnation: string
  readonly failureDomain: string
  readonly placement: Placement
  /** Agents by name. */
  readonly agents: Map<string, AgentView>
  /** Jobs that are not over, by identity. */
  readonly jobs: Map<string, Job>
  /** Tasks that are assigned or being stopped, by name. */
  readonly assigned: Map<string, TaskOfJob>
  /** Jobs with tasks that wait to be sent. */
  waiting: Job[]
  /** When the waiting jobs were last gone through. */
  assignedAt: number
}

/** Orders of one job for one agent, not sent yet. */
export interface PendingOrders {
  readonly view: AgentView
  readonly orders: RunOrder[]
  patienceMilliseconds: number
}
