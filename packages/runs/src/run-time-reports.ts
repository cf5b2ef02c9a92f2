/** What an agent tells entries of its upstream's run times, and what it takes over from them. */
import { boundFactor, type RunOrder, type RunTimes, type Start, type UpstreamLoad } from '@baobabpost/fleet-calls'
import type { RunRegistryPorts, RunRegistryState } from './run-registry-state.js'
import type { RunRecord } from './run-record.js'
import type { RunWork } from './run-time-model.js'

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
  state: RunRegistryState, ports: RunRegistryPorts, record: RunRecord, milliseconds: number
): void {
  const { upstream } = state
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

/** Returns the part of the load that describes run times. */
export function describeRunTimes (state: RunRegistryState): Pick<UpstreamLoad, 'runTimes' | 'pace'> {
  return { runTimes: state.upstream.runTimes.runTimes() }
}
