/** Shares of work that upstreams lose by degrees when they fail, slow down or fall silent, and gain back by runs. */
import type { AgentView } from './agent-view.js'
import type { DispatcherPorts, DispatcherState } from './dispatcher-state.js'
import { EJECTION_FAILURE_SHARE, MAXIMUM_EJECTED_SHARE } from './dispatch-limits.js'

/** Failure share up to which an upstream keeps all of its work: single failures are the tasks' own. */
const TOLERATED_FAILURE_SHARE = 0.1
/** Multiple of the median failure share up to which an upstream keeps its work: more has a cause of its own. */
const TOLERATED_MEDIAN_FACTOR = 1.5
/** Time after a silence in which an agent gains its share back; some of the longest intervals between answers. */
const SILENCE_RECOVERY_MILLISECONDS = 4_000
/** Share of an agent that has just answered again. */
const SHARE_AFTER_SILENCE = 0.5
/** Largest pace that counts: above it the upstream gets the least share by pace. */
const SLOWEST_PACE = 5
/** Share at or below which an upstream only gets probes. */
export const PROBE_SHARE = 0.1

function shareByFailures ({ load }: AgentView, medianFailureShare: number): number {
  const tolerated = Math.max(TOLERATED_FAILURE_SHARE, TOLERATED_MEDIAN_FACTOR * medianFailureShare)
  const range = EJECTION_FAILURE_SHARE - TOLERATED_FAILURE_SHARE
  return 1 - Math.min(1, Math.max(0, load.failureShare - tolerated) / range)
}

/** Slow runs hold capacity for longer, so a slow upstream gets work in inverse proportion. */
function shareByPace ({ load }: AgentView): number {
  return 1 / Math.min(SLOWEST_PACE, Math.max(1, load.pace ?? 1))
}

function shareBySilence ({ silentUntil }: AgentView, now: number): number {
  if (silentUntil === undefined) return 1
  const recovered = Math.min(1, Math.max(0, now - silentUntil) / SILENCE_RECOVERY_MILLISECONDS)
  return SHARE_AFTER_SILENCE + (1 - SHARE_AFTER_SILENCE) * recovered
}

/**
 * Returns the shares of the agents of one service that are below 1, by name. What is set aside is at most
 * `MAXIMUM_EJECTED_SHARE` of the capacity, the worst first.
 *
 * A job that can never succeed fails on every upstream. That raises the median, so that no upstream loses work for it.
 * The load that it answers: upstreams that fail, flap, slow down or fall silent, one after the other or many at once.
 *
 * @example
 * findShares(views, now) // Map { 'agent-7' => 0.4 }
 */
export function findShares (views: readonly AgentView[], now: number): Map<string, number> {
  const shares = new Map<string, number>()
  const isHealthy = (view: AgentView): boolean => view.load.failureShare <= TOLERATED_FAILURE_SHARE &&
    view.load.pace === undefined &&
    (view.silentUntil === undefined || now - view.silentUntil >= SILENCE_RECOVERY_MILLISECONDS)
  if (views.every(isHealthy)) return shares
  const failureShares = views.map(({ load }) => load.failureShare).sort((left, right) => right - left)
  const median = failureShares[Math.floor(failureShares.length / 2)] ?? 0
  const lowered: Array<{ readonly view: AgentView, readonly share: number }> = []
  let capacity = 0
  for (const view of views) {
    capacity += view.profile?.capacity.processor ?? 0
    const share = shareByFailures(view, median) * shareByPace(view) * shareBySilence(view, now)
    if (share < 1) lowered.push({ view, share })
  }
  lowered.sort((left, right) => left.share - right.share)
  let remaining = MAXIMUM_EJECTED_SHARE * capacity
  for (const { view, share } of lowered) {
    const processor = Math.max(1, view.profile?.capacity.processor ?? 0)
    const setAside = Math.min(remaining, processor * (1 - share))
    remaining -= setAside
    if (setAside > 0) shares.set(view.name, 1 - setAside / processor)
  }
  return shares
}

/**
 * Whether an agent with a share below 1 may be chosen for a task now. Its credit rises with each task that asks, and a
 * task that is planned there takes 1 of it.
 */
export function hasCredit (view: AgentView, share: number): boolean {
  view.shareCredit = Math.min(1, view.shareCredit + share)
  return view.shareCredit >= 1
}

/** Change of a share from which it is logged. */
const LOGGED_SHARE_CHANGE = 0.3
/** Interval at which changed shares are looked for. */
const LOG_INTERVAL_MILLISECONDS = 500

/** Logs the shares that have changed a lot, or are whole again, so that an operator sees why an upstream is idle. */
export function logShares (state: DispatcherState, ports: DispatcherPorts, now: number): void {
  if (now - state.lastShareLogAt < LOG_INTERVAL_MILLISECONDS) return
  state.lastShareLogAt = now
  const viewsByService = new Map<string, AgentView[]>()
  for (const view of state.agents.values()) {
    if (view.profile === undefined || !view.isReachable) continue
    const views = viewsByService.get(view.profile.service) ?? []
    views.push(view)
    viewsByService.set(view.profile.service, views)
  }
  for (const views of viewsByService.values()) {
    const shares = findShares(views, now)
    for (const view of views) {
      const share = shares.get(view.name) ?? 1
      const isWholeAgain = share === 1 && view.loggedShare < 1
      if (Math.abs(share - view.loggedShare) < LOGGED_SHARE_CHANGE && !isWholeAgain) continue
      view.loggedShare = share
      ports.logger.info('share of an upstream', {
        agent: view.name,
        share: Math.round(share * 100) / 100,
        failureShare: view.load.failureShare,
        pace: view.load.pace ?? 1,
        silence: view.silentUntil === undefined ? 0 : Math.round(now - view.silentUntil)
      })
    }
  }
}
