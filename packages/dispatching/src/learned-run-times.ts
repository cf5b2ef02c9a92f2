/** Run times learned by route, over all upstreams, and by upstream, as its agent tells them. */
import type { EventLogger } from '@baobabpost/common'
import {
  boundFactor, readRunTimes, type RunOrder, type RunTimes, type RunTimeValues, type Start
} from '@baobabpost/fleet-calls'
import type { AgentView } from './agent-view.js'
import { createEstimateCorrection, type EstimateCorrection } from './estimate-correction.js'
import type { JobRequest, JobStep } from './job.js'
import { createRecentValues, type RecentValues } from './recent-values.js'
import {
  expectBySlowness, RunTimeEstimates, USUAL_ANSWER_MARGIN_MILLISECONDS, type CompletedRun
} from './run-time-estimates.js'

/** Runs that the factor of a route rests on: under a second of work of a usual route. */
const ROUTE_RUNS = 48
/** Runs that an assumed factor counts for: few where nothing is known, more where an agent told it. */
const ASSUMED_FACTOR_RUNS = 3
const TOLD_FACTOR_RUNS = 12
/** Share of the runs below the spread that is logged, as at agents. */
const SPREAD_SHARE = 0.84
/** Bounds of the factor in an objective: estimates are off by up to 40 %. */
const OBJECTIVE_FACTOR_BOUNDS = { minimum: 0.6, maximum: 1.67 }
/**
 * What a route's factor may owe to the fixed part of run times rather than to its estimates, in milliseconds; an
 * objective is not lengthened by it.
 */
const UNCERTAIN_FIXED_MILLISECONDS = 8
/** Answers whose delivery time is kept, and the share of them that is planned for. */
const DELIVERY_ANSWERS = 64
const DELIVERY_SHARE = 0.4
const ASSUMED_DELIVERIES = 8
const DELIVERY_BOUNDS_MILLISECONDS = { minimum: 12, maximum: 150 }
/** Runs below which an agent knows too little, so that what an earlier incarnation of it told is used. */
const FEW_RUNS = 8
/** Change of a route's factor, as a ratio, from which it is logged. */
const LOGGED_CHANGE_RATIO = 1.15

interface RouteRunTimes {
  readonly ratios: RecentValues
  readonly correction: EstimateCorrection
  loggedFactor: number
}

/** What is known of one agent's upstream. */
interface UpstreamRunTimes {
  service: string
  instance: number | undefined
  told: RunTimes
  values: RunTimeValues
}

/** Geometric mean of the factors of a service's upstreams, and the sum of their logarithms. */
interface ServiceScale {
  sum: number
  count: number
  mean: number
}

function createRoute (assumedFactor: number, assumedRuns: number): RouteRunTimes {
  const assumed = Array.from({ length: assumedRuns }, () => assumedFactor)
  return {
    ratios: createRecentValues(ROUTE_RUNS, assumed), correction: createEstimateCorrection(), loggedFactor: 1
  }
}

/**
 * Learns a factor for each route over all upstreams, and takes the rest from the agents.
 *
 * The load that it answers: estimates that are off by up to 40 % by kind of job and by job, upstreams of uneven speed,
 * and a fixed part of each run, which one average by upstream mixes.
 */
export class LearnedRunTimes extends RunTimeEstimates {
  readonly #logger: EventLogger
  readonly #farMultiplier: number | undefined
  readonly #routes = new Map<string, RouteRunTimes>()
  readonly #upstreams = new Map<string, UpstreamRunTimes>()
  readonly #scales = new Map<string, ServiceScale>()
  readonly #deliveries = createRecentValues(
    DELIVERY_ANSWERS, Array.from({ length: ASSUMED_DELIVERIES }, () => USUAL_ANSWER_MARGIN_MILLISECONDS))

  /** @param farMultiplier - Factor on the run time of a task away from the rack of its data, where it is known. */
  constructor (logger: EventLogger, farMultiplier?: number) {
    super()
    this.#logger = logger
    this.#farMultiplier = farMultiplier
  }

  override expect (view: AgentView, step: JobStep, route: string): number {
    const upstream = this.#upstreams.get(view.name)
    if (upstream === undefined) return expectBySlowness(view, step)
    const { fixedMilliseconds } = upstream.values
    const work = step.estimateMilliseconds * this.factorOf(route) * this.#awayFactor(view, step)
    const pace = Math.max(1, view.load.pace ?? 1)
    return pace * (fixedMilliseconds + work * this.#relativeFactor(upstream))
  }

  override knowsAwayTime (): boolean {
    return this.#farMultiplier !== undefined
  }

  override answerMargin (): number {
    const { minimum, maximum } = DELIVERY_BOUNDS_MILLISECONDS
    return Math.min(maximum, Math.max(minimum, this.#deliveries.quantile(DELIVERY_SHARE)))
  }

  /** Returns the factor on the estimates of a route; 1 before any run of it. */
  factorOf (route: string): number {
    const known = this.#routes.get(route)
    return known === undefined ? 1 : boundFactor(known.ratios.quantile(0.5))
  }

  override correctEstimates (request: JobRequest): JobRequest {
    const correction = this.#routes.get(request.route)?.correction
    if (correction === undefined) return request
    const steps = request.steps.map(step => ({
      ...step,
      estimateMilliseconds: correction.correct(step.estimateMilliseconds),
      statedMilliseconds: step.estimateMilliseconds
    }))
    return { ...request, steps }
  }

  override objectiveFactor ({ route, steps }: JobRequest): number {
    const { minimum, maximum } = OBJECTIVE_FACTOR_BOUNDS
    const factor = Math.min(maximum, Math.max(minimum, this.factorOf(route)))
    if (factor <= 1) return factor
    let longest = 1
    for (const { estimateMilliseconds } of steps) longest = Math.max(longest, estimateMilliseconds)
    return Math.max(1, factor - UNCERTAIN_FIXED_MILLISECONDS / longest)
  }

  override recordDone ({ view, request, step, milliseconds }: CompletedRun): void {
    const upstream = this.#upstreams.get(view.name)
    if (upstream === undefined) return
    if (step.estimateMilliseconds <= 0) return
    let route = this.#routes.get(request.route)
    if (route === undefined) {
      route = createRoute(1, ASSUMED_FACTOR_RUNS)
      this.#routes.set(request.route, route)
    }
    const ownMilliseconds = Math.max(1, milliseconds - upstream.values.fixedMilliseconds)
    const ordinaryMilliseconds = ownMilliseconds / (this.#awayFactor(view, step) * this.#relativeFactor(upstream))
    route.correction.record(step.statedMilliseconds ?? step.estimateMilliseconds, ordinaryMilliseconds)
    route.ratios.add(ordinaryMilliseconds / step.estimateMilliseconds)
    this.#logFactor(request.route, route)
  }

  override recordDelivery (milliseconds: number): void {
    this.#deliveries.add(Math.max(0, milliseconds))
  }

  override applyAnswer (view: AgentView): void {
    const { profile, load } = view
    // A restarted agent may answer before it has sent its profile again: its instance is not known then.
    if (profile === undefined) return
    if (load.runTimes === undefined) return this.forget(view)
    for (const [route, factor] of Object.entries(profile.routeFactors ?? {})) {
      if (!this.#routes.has(route)) this.#routes.set(route, createRoute(boundFactor(factor), TOLD_FACTOR_RUNS))
    }
    const known = this.#upstreams.get(view.name)
    if (known?.told === load.runTimes) return
    const isSameInstance = known !== undefined && profile.instance !== undefined && known.instance === profile.instance
    const values = readRunTimes(load.runTimes)
    if (isSameInstance && values.runs < FEW_RUNS && known.values.runs >= FEW_RUNS) return
    this.forget(view)
    const { service, instance } = profile
    this.#upstreams.set(view.name, { service, instance, told: load.runTimes, values })
    this.#addToScale(service, Math.log(values.factor), 1)
  }

  override forget (view: AgentView): void {
    const known = this.#upstreams.get(view.name)
    if (known === undefined) return
    this.#upstreams.delete(view.name)
    this.#addToScale(known.service, -Math.log(known.values.factor), -1)
  }

  override describeStart (
    view: AgentView, { route }: JobRequest
  ): Pick<Start, 'route' | 'estimateFactor' | 'remembered'> {
    const known = this.#upstreams.get(view.name)
    const estimateFactor = Math.round(this.factorOf(route) * 1_000) / 1_000
    const toldRuns = view.load.runTimes?.[4] ?? 0
    if (known?.instance === undefined || known.values.runs < FEW_RUNS || toldRuns >= FEW_RUNS) {
      return { route, estimateFactor }
    }
    return { route, estimateFactor, remembered: { instance: known.instance, runTimes: known.told } }
  }

  override describeOrder (view: AgentView, step: JobStep): Pick<RunOrder, 'awayFactor'> {
    const awayFactor = this.#awayFactor(view, step)
    return awayFactor === 1 ? {} : { awayFactor }
  }

  #awayFactor (view: AgentView, { rack }: JobStep): number {
    return rack === undefined || view.profile?.labels.includes(rack) === true ? 1 : this.#farMultiplier ?? 1
  }

  /** Returns an upstream's factor relative to the geometric mean of its service: routes carry the common scale. */
  #relativeFactor ({ service, values }: UpstreamRunTimes): number {
    const scale = this.#scales.get(service)
    return values.factor / (scale?.mean ?? 1)
  }

  #addToScale (service: string, logarithm: number, count: number): void {
    const scale = this.#scales.get(service) ?? { sum: 0, count: 0, mean: 1 }
    scale.sum += logarithm
    scale.count += count
    scale.mean = Math.exp(scale.sum / Math.max(1, scale.count))
    if (scale.count === 0) this.#scales.delete(service)
    else this.#scales.set(service, scale)
  }

  #logFactor (name: string, route: RouteRunTimes): void {
    const factor = this.factorOf(name)
    const change = factor / route.loggedFactor
    if (change < LOGGED_CHANGE_RATIO && change > 1 / LOGGED_CHANGE_RATIO) return
    route.loggedFactor = factor
    this.#logger.info('estimate factor learned', {
      route: name,
      factor: Math.round(factor * 1_000) / 1_000,
      spread: Math.round(1_000 * (route.ratios.quantile(SPREAD_SHARE) / factor - 1)) / 1_000,
      runs: route.ratios.count()
    })
  }
}
