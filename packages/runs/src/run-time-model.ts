/** Learns how long runs take at one instance of an upstream. */
import {
  readRunTimes, USUAL_FIXED_MILLISECONDS, USUAL_SPREAD, USUAL_TAIL, type RunTimes
} from '@baobabpost/fleet-calls'
import { fitRunTimes, medianOf, quantileOf, timeOnLine, type AssumedLine, type RunSample } from './fit-run-times.js'

/** Runs that the model rests on: some seconds of work, and few enough that a fit takes microseconds. */
const MAXIMUM_SAMPLES = 96
/** Newest runs that show a change of speed together; one in 33 tasks is long by itself, five of eight are not. */
const CHANGE_SAMPLES = 8
/** Ratio of those runs' median to the learned times from which earlier runs are dropped. */
const CHANGE_RATIO = 1.5
/** Shares of the runs below the spread and below the tail. */
const SPREAD_SHARE = 0.84
const TAIL_SHARE = 0.95
/** Largest tail in spreads; the long tasks of a route would otherwise make each upstream look unreliable. */
const MAXIMUM_TAIL_SPREADS = 3
/** Runs that the assumed spread and tail count for. */
const ASSUMED_SPREAD_RUNS = 8
/** Standard deviation of the factor before any run, as a share: speeds range from 0.6 to 1.6. */
const FACTOR_DEVIATION = 0.5
/** Standard deviation of the factor that an earlier incarnation of the agent had learned, as a share. */
const REMEMBERED_FACTOR_DEVIATION = 0.05
/** Runs that remembered run times count for at most. */
const MAXIMUM_REMEMBERED_RUNS = 24
/** Runs below which remembered run times are taken over. */
const FEW_RUNS = 8
/** Runs from which only each fourth one leads to another fit, which costs an agent some 100 microseconds. */
const RARE_FIT_RUNS = 32
const RARE_FIT_INTERVAL_RUNS = 4

/** The work of a run, before the factor that entries have learned for its route. */
export interface RunWork {
  /** Route of the job; empty if its entry did not tell. */
  readonly route: string
  /** Run time on an upstream of ordinary speed by the caller's estimate, in milliseconds. */
  readonly estimateMilliseconds: number
}

export interface RunTimeModel {
  /** Records a run that was done after `milliseconds`. */
  recordDone: (work: RunWork, milliseconds: number) => void
  /** Expected time of a run, in milliseconds. */
  expect: (work: RunWork) => number
  /** Learned values, as they are told to entries. */
  runTimes: () => RunTimes
  /** Takes over what an earlier incarnation of the agent had learned. Returns false if this one knows enough. */
  adopt: (remembered: RunTimes) => boolean
}

interface DoneRun {
  readonly work: RunWork
  readonly milliseconds: number
}

interface Spreads {
  readonly spread: number
  readonly tail: number
}

function round (value: number, digits: number): number {
  const unit = 10 ** digits
  return Math.round(value * unit) / unit
}

/** Returns a value between an observed and an assumed one, by the number of runs of each. */
function blend (observed: number, runs: number, assumed: number): number {
  return (observed * runs + assumed * ASSUMED_SPREAD_RUNS) / (runs + ASSUMED_SPREAD_RUNS)
}

/**
 * Creates the model of an instance without runs. The factors of the routes are asked for at each fit, so that earlier
 * runs count by what is known now: runs from before a factor was known would look like a spread of the upstream.
 *
 * @param routeFactor - Returns the newest factor on the estimates of a route.
 * @example
 * const model = createRunTimeModel(() => 1)
 * model.recordDone({ route: 'desk', estimateMilliseconds: 86 }, 151)
 * model.expect({ route: 'desk', estimateMilliseconds: 286 })
 */
export function createRunTimeModel (routeFactor: (route: string) => number): RunTimeModel {
  let runs: DoneRun[] = []
  let rememberedRuns = 0
  let assumed: AssumedLine & Spreads = {
    fixedMilliseconds: USUAL_FIXED_MILLISECONDS,
    factor: 1,
    factorDeviation: FACTOR_DEVIATION,
    spread: USUAL_SPREAD,
    tail: USUAL_TAIL
  }
  let learned: RunTimes | undefined
  let runsSinceFit = 0

  function expectedWork ({ route, estimateMilliseconds }: RunWork): number {
    return Math.max(1, estimateMilliseconds * routeFactor(route))
  }

  function samplesOf (doneRuns: readonly DoneRun[]): RunSample[] {
    return doneRuns.map(({ work, milliseconds }) => ({ expectedMilliseconds: expectedWork(work), milliseconds }))
  }

  function ratioOf ({ expectedMilliseconds, milliseconds }: RunSample, line: RunTimes): number {
    const [fixedMilliseconds, factor] = line
    return milliseconds / timeOnLine({ fixedMilliseconds, factor }, expectedMilliseconds)
  }

  /** Drops the runs before a change of speed, which would otherwise hide it for as long as they are kept. */
  function dropBeforeChange (): void {
    if (runs.length <= CHANGE_SAMPLES) return
    const line = runTimes()
    const median = medianOf(samplesOf(runs.slice(-CHANGE_SAMPLES)).map(sample => ratioOf(sample, line)))
    if (median < CHANGE_RATIO && median > 1 / CHANGE_RATIO) return
    runs = runs.slice(-CHANGE_SAMPLES)
    rememberedRuns = 0
    learned = undefined
    assumed = { ...assumed, factor: 1, factorDeviation: FACTOR_DEVIATION }
  }

  function learn (): RunTimes {
    const samples = samplesOf(runs)
    const line = fitRunTimes(samples, assumed)
    const fitted: RunTimes = [line.fixedMilliseconds, line.factor, 0, 0, 0]
    const ratios = samples.map(sample => ratioOf(sample, fitted)).sort((left, right) => left - right)
    const spread = blend(Math.max(0, quantileOf(ratios, SPREAD_SHARE) - 1), runs.length, assumed.spread)
    const observedTail = blend(Math.max(0, quantileOf(ratios, TAIL_SHARE) - 1), runs.length, assumed.tail)
    const tail = Math.max(spread, Math.min(observedTail, MAXIMUM_TAIL_SPREADS * spread))
    return [
      round(line.fixedMilliseconds, 1), round(line.factor, 3), round(spread, 3), round(tail, 3),
      Math.min(MAXIMUM_SAMPLES, runs.length + rememberedRuns)
    ]
  }

  function runTimes (): RunTimes {
    if (learned !== undefined) return learned
    learned = learn()
    runsSinceFit = 0
    return learned
  }

  return {
    recordDone: (work, milliseconds) => {
      runs.push({ work, milliseconds })
      if (runs.length > MAXIMUM_SAMPLES) runs.shift()
      runsSinceFit += 1
      dropBeforeChange()
      if (runs.length < RARE_FIT_RUNS || runsSinceFit >= RARE_FIT_INTERVAL_RUNS) learned = undefined
    },
    expect: work => {
      const [fixedMilliseconds, factor] = runTimes()
      return timeOnLine({ fixedMilliseconds, factor }, expectedWork(work))
    },
    runTimes,
    adopt: remembered => {
      const { fixedMilliseconds, factor, spread, tail, runs: toldRuns } = readRunTimes(remembered)
      if (toldRuns <= runs.length || runs.length + rememberedRuns >= FEW_RUNS) return false
      assumed = { fixedMilliseconds, factor, factorDeviation: REMEMBERED_FACTOR_DEVIATION, spread, tail }
      rememberedRuns = Math.min(toldRuns, MAXIMUM_REMEMBERED_RUNS)
      learned = undefined
      return true
    }
  }
}
