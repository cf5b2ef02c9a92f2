/** What an agent tells entries of its upstream's run times, and what it takes over from them. */
import { boundFactor, type RunOrder, type RunTimes, type Start, type UpstreamLoad } from '@baobabpost/fleet-calls'
import type { RunRegistryPorts, RunRegistryState } from './run-registry-state.js'
import type { PresentRun } from './pace.js'
import type { RunRecord } from './run-record.js'
import type { RunWork } from './run-time-model.js'
import type { Listing } from './upstream.js'

/** Routes of which a factor is kept; bounds the profile that a new entry gets. */
const MAXIMUM_ROUTE_FACTORS = 64
/** Change of the factor, as a ratio, from which the learned run times are logged. */
const LOGGED_CHANGE_RATIO = 1.25
/** Runs from which learned run times are logged. */
const LOGGED_RUNS = 8

/**
 * Returns the work of an order.
 *
 * @example
 * workOf(start, order) // { route: 'desk', estimateMilliseconds: 240 } for an estimate of 120 ms far from its data
 */
export function workOf (start: Start, order: RunOrder): RunWork {
  return {
    route: start.route ?? '',
    estimateMilliseconds: order.estimateMilliseconds * boundFactor(order.awayFactor ?? 1)
  }
}

/** Keeps the route factor that a start call tells, and the run times that an earlier incarnation had learned. */
export function adoptRunTimes (state: RunRegistryState, ports: RunRegistryPorts, start: Start): void {
  const { route, estimateFactor, remembered, caller } = start
  if (route !== undefined && estimateFactor !== undefined) {
    state.routeFactors.delete(route)
    state.routeFactors.set(route, boundFactor(estimateFactor))
    const [oldest] = state.routeFactors.keys()
    if (oldest !== undefined && state.routeFactors.size > MAXIMUM_ROUTE_FACTORS) state.routeFactors.delete(oldest)
  }
  if (remembered === undefined || remembered.instance !== state.upstream.instance?.startedAt) return
  if (!state.upstream.runTimes.adopt(remembered.runTimes)) return
  logRunTimes(ports, state.upstream.runTimes.runTimes(), caller.entry)
}

/** Records the time of a run that was done; logs what is learned if it has changed a lot. */
export function recordRunTime (
  state: RunRegistryState, ports: RunRegistryPorts, record: RunRecord, milliseconds: number, now: number
): void {
  const { upstream } = state
  upstream.pace.recordDone(milliseconds / upstream.runTimes.expect(record.work), now)
  upstream.runTimes.recordDone(record.work, milliseconds)
  const runTimes = upstream.runTimes.runTimes()
  const [, factor, , , runs] = runTimes
  const change = factor / upstream.loggedFactor
  if (runs < LOGGED_RUNS || (change < LOGGED_CHANGE_RATIO && change > 1 / LOGGED_CHANGE_RATIO)) return
  upstream.loggedFactor = factor
  logRunTimes(ports, runTimes, 'its runs')
}

function logRunTimes (ports: RunRegistryPorts, [fixed, factor, spread, tail, runs]: RunTimes, source: string): void {
  ports.logger.info('run times learned', { fixed, factor, spread, tail, runs, source })
}

/** Compares the runs of a listing with their expected times; logs when most of them become late, and tells when not. */
export function recordPace (state: RunRegistryState, ports: RunRegistryPorts, listing: Listing, now: number): void {
  const { upstream } = state
  const present: PresentRun[] = []
  for (const { task, run, percent } of listing.running) {
    const record = state.runs.get(task)
    if (record?.state !== 'running' || record.upstreamRunNumber !== run) continue
    const expectedMilliseconds = upstream.runTimes.expect(record.work)
    present.push({ task, run, percent, elapsedMilliseconds: now - record.orderedAt, expectedMilliseconds })
  }
  upstream.pace.observe(present, now)
  const pace = upstream.pace.pace()
  const isSlow = pace > 1
  if (upstream.isLoggedSlow === isSlow) return
  upstream.isLoggedSlow = isSlow
  if (isSlow) {
    ports.logger.warn('upstream slows down', { pace: Math.round(pace * 10) / 10, runs: present.length })
    return
  }
  ports.logger.info('upstream is in time again', { runs: present.length })
  // Entries would keep work away from the upstream until they next hear of it.
  ports.wake()
}

/** Returns the part of the load that describes run times. */
export function describeRunTimes (state: RunRegistryState): Pick<UpstreamLoad, 'runTimes' | 'pace'> {
  const runTimes = state.upstream.runTimes.runTimes()
  const pace = Math.round(state.upstream.pace.pace() * 100) / 100
  return pace > 1 ? { runTimes, pace } : { runTimes }
}
