/** Expected run times of tasks at upstreams: what varies between the earlier model and the learned one. */
import type { RunOrder, Start } from '@baobabpost/fleet-calls'
import type { AgentView } from './agent-view.js'
import type { JobRequest, JobStep } from './job.js'

/** A run that was done, as an entry sees it. */
export interface CompletedRun {
  readonly view: AgentView
  readonly request: JobRequest
  readonly step: JobStep
  /** Time that the agent measured, from the order to the listed end. */
  readonly milliseconds: number
}

/** Learned from: a completed run, an agent's answer, the time that calls and reports take. */
export abstract class RunTimeEstimates {
  /** Returns the expected time of a run at an upstream, from its order to the report of its end, in milliseconds. */
  abstract expect (view: AgentView, step: JobStep, route: string): number
  /** Whether `expect` knows how much longer a task takes away from the rack of its data. */
  abstract knowsAwayTime (): boolean
  /** Time that an answer takes beside the run: its start call, its report and the entry's own work. */
  abstract answerMargin (): number
  /** Returns the request with estimates that are corrected by how much the estimates of its route tell. */
  abstract correctEstimates (request: JobRequest): JobRequest
  /** Factor on the estimates of a route by which a job's objective follows the true length of its tasks. */
  abstract objectiveFactor (request: JobRequest): number
  abstract recordDone (run: CompletedRun): void
  /** Records how much longer a start call with its report took than its run. */
  abstract recordDelivery (milliseconds: number): void
  /** Applies the load and the profile of an agent's newest answer. */
  abstract applyAnswer (view: AgentView): void
  abstract forget (view: AgentView): void
  /** Returns what a start call tells the agent beside its orders. */
  abstract describeStart (view: AgentView, request: JobRequest): Pick<Start, 'route' | 'estimateFactor' | 'remembered'>
  /** Returns what an order tells the agent beside its estimate. */
  abstract describeOrder (view: AgentView, step: JobStep): Pick<RunOrder, 'awayFactor'>
}

/** Margin for what an answer takes beside the run, before any was measured. */
export const USUAL_ANSWER_MARGIN_MILLISECONDS = 25

/** Returns the expected time by the moving average of run time over estimate that each agent tells. */
export function expectBySlowness (view: AgentView, step: JobStep): number {
  return step.estimateMilliseconds * view.load.slowness
}

/** The earlier model: one average an upstream. Kept to compare with. */
export class SlownessEstimates extends RunTimeEstimates {
  override expect (view: AgentView, step: JobStep): number {
    return expectBySlowness(view, step)
  }

  override knowsAwayTime (): boolean {
    return false
  }

  override answerMargin (): number {
    return USUAL_ANSWER_MARGIN_MILLISECONDS
  }

  override correctEstimates (request: JobRequest): JobRequest {
    return request
  }

  override objectiveFactor (): number {
    return 1
  }

  override recordDone (): void {}
  override recordDelivery (): void {}
  override applyAnswer (): void {}
  override forget (): void {}

  override describeStart (): Pick<Start, 'route' | 'estimateFactor' | 'remembered'> {
    return {}
  }

  override describeOrder (): Pick<RunOrder, 'awayFactor'> {
    return {}
  }
}
