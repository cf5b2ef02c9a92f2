/** Admission of jobs by the capacity of upstreams: what fits, how long tasks may wait, and what is refused. */
import {
  MAXIMUM_WAIT_EXTRA_MILLISECONDS, MAXIMUM_WAIT_FACTOR, MAXIMUM_WAIT_SHARE, MINIMUM_SLACK_FACTOR,
  SHORT_WAIT_MILLISECONDS
} from './dispatch-limits.js'
import type { PlacementChoice } from './placement.js'

/** Margin of a run that has to wait, as a share of its expected time: a job that is probably in time is not refused. */
const RUN_TIME_MARGIN_SHARE = 0.15
/** Margin for what an answer takes beside the wait and the run: its order, its listing and its report. */
const ANSWER_MARGIN_MILLISECONDS = 25
/**
 * Age from which the view of an agent is no ground to refuse a job: the agent is asked instead, whose answer brings a
 * new view. A quiet entry hears of an agent only every few hundred milliseconds.
 */
const MAXIMUM_VIEW_AGE_MILLISECONDS = 100
/** Maximum number of agents that are asked for one task; more would take up the slack of a short job. */
const MAXIMUM_PROBES = 3
/** Expected waits from this on mean that nothing is known of when an upstream releases capacity. */
const UNKNOWN_WAIT_MILLISECONDS = 10_000

/** A task of a job that could not be planned within the objective, as an admission sees it. */
export interface MissedTask {
  /** Earliest expected finish among the usable upstreams; undefined if there is none. */
  readonly choice: PlacementChoice | undefined
  /** Time from now to the objective of the job. */
  readonly remainingMilliseconds: number
  readonly objectiveMilliseconds: number
  /** Whether a run of one of its waiting tasks was lost or failed, so that the job had its capacity before. */
  readonly hasLostRun: boolean
  /** Whether upstreams of its service are about to serve, as after a restart. */
  readonly isCapacityArriving: boolean
  /** Time since the job arrived. */
  readonly waitedMilliseconds: number
}

/**
 * Decision on a job that can't be planned within its objective now: `wait` at the entry, run `late` with what others
 * leave free, or `release` the capacity that the job holds and refuse it if none of its tasks has started.
 */
export type MissDecision = 'wait' | 'late' | 'release'

/** Decides on jobs and tasks by the times that are expected at upstreams. It reads no clock and holds no state. */
export abstract class Admission {
  /**
   * Whether a task that is placed like this is sent as one that meets the objective of its job.
   *
   * @param probes - How often tasks of the job were refused by agents for lack of capacity.
   */
  abstract fits (choice: PlacementChoice, remainingMilliseconds: number, probes: number, now: number): boolean
  /** Returns the longest time for which a task may wait at its agent, in milliseconds. */
  abstract maximumWait (choice: PlacementChoice, remainingMilliseconds: number): number
  /** Whether the tasks sent to one agent are to be accepted only if all are expected to start within that wait. */
  abstract isWhole (choice: PlacementChoice): boolean
  abstract decideMiss (missed: MissedTask): MissDecision
}

/**
 * Returns the maximum wait where free capacity is expected: short, and 0 if the job has no time for it. An agent
 * without any then refuses soon, and another agent can be tried.
 */
function shortWait ({ finishMilliseconds }: PlacementChoice, remainingMilliseconds: number): number {
  const slackMilliseconds = remainingMilliseconds - finishMilliseconds
  return slackMilliseconds >= MINIMUM_SLACK_FACTOR * SHORT_WAIT_MILLISECONDS ? SHORT_WAIT_MILLISECONDS : 0
}

/**
 * Admission before the latest start was considered: jobs are sent while the expected finish meets the objective, tasks
 * may wait twice as long as expected, and a job without room waits at the entry and is then served late.
 */
export class PatientAdmission extends Admission {
  override fits ({ finishMilliseconds }: PlacementChoice, remainingMilliseconds: number): boolean {
    return finishMilliseconds <= remainingMilliseconds
  }

  override maximumWait (choice: PlacementChoice, remainingMilliseconds: number): number {
    return choice.waitMilliseconds > 0
      ? MAXIMUM_WAIT_FACTOR * choice.waitMilliseconds + MAXIMUM_WAIT_EXTRA_MILLISECONDS
      : shortWait(choice, remainingMilliseconds)
  }

  override isWhole (): boolean {
    return false
  }

  override decideMiss ({ waitedMilliseconds, objectiveMilliseconds }: MissedTask): MissDecision {
    return waitedMilliseconds < MAXIMUM_WAIT_SHARE * objectiveMilliseconds ? 'wait' : 'late'
  }
}

/**
 * Returns the latest time from now at which a task may start so that its job is in time; negative if it can't be.
 *
 * @example
 * latestStartMilliseconds(choice, 380) // 125 for a run of 200 ms
 */
export function latestStartMilliseconds (
  { waitMilliseconds, finishMilliseconds }: PlacementChoice, remainingMilliseconds: number
): number {
  const runMilliseconds = (1 + RUN_TIME_MARGIN_SHARE) * (finishMilliseconds - waitMilliseconds)
  return remainingMilliseconds - runMilliseconds - ANSWER_MARGIN_MILLISECONDS
}

/**
 * Admits a job if all of its tasks are expected to start by their latest start, and releases its capacity as soon as
 * one can't.
 *
 * It answers a sustained load above the capacity: with admission by the expected finish alone, queues grow until all
 * jobs are late together, and the capacity is spent on answers that come too late.
 */
export class LatestStartAdmission extends Admission {
  override fits (choice: PlacementChoice, remainingMilliseconds: number, probes: number, now: number): boolean {
    const { agent, waitMilliseconds, finishMilliseconds } = choice
    if (waitMilliseconds <= 0) return finishMilliseconds <= remainingMilliseconds
    const latestStart = latestStartMilliseconds(choice, remainingMilliseconds)
    if (waitMilliseconds <= latestStart) return true
    const isViewOutdated = now - Math.max(agent.lastContactAt, agent.lastSentAt) > MAXIMUM_VIEW_AGE_MILLISECONDS
    if (!isViewOutdated || waitMilliseconds >= UNKNOWN_WAIT_MILLISECONDS) return false
    return latestStart >= 0 && probes < MAXIMUM_PROBES
  }

  override maximumWait (choice: PlacementChoice, remainingMilliseconds: number): number {
    if (choice.waitMilliseconds <= 0) return shortWait(choice, remainingMilliseconds)
    return Math.max(0, latestStartMilliseconds(choice, remainingMilliseconds))
  }

  override isWhole ({ waitMilliseconds }: PlacementChoice): boolean {
    return waitMilliseconds > 0
  }

  override decideMiss (missed: MissedTask): MissDecision {
    const { choice, remainingMilliseconds, objectiveMilliseconds, waitedMilliseconds, hasLostRun } = missed
    // Without a known rate of release there is no wait to compare, as at upstreams that have just started.
    const isUnknown = choice === undefined || choice.waitMilliseconds >= UNKNOWN_WAIT_MILLISECONDS
    const mayWait = waitedMilliseconds < MAXIMUM_WAIT_SHARE * objectiveMilliseconds
    if (isUnknown) return mayWait ? 'wait' : 'late'
    const isContended = choice.waitMilliseconds > 0 &&
      choice.finishMilliseconds - choice.waitMilliseconds + waitedMilliseconds <= objectiveMilliseconds
    if (!isContended) return mayWait && remainingMilliseconds > 0 ? 'wait' : 'late'
    const hasSlack = mayWait && latestStartMilliseconds(choice, remainingMilliseconds) > 0
    if (hasSlack && missed.isCapacityArriving) return 'wait'
    return hasLostRun ? 'late' : 'release'
  }
}
