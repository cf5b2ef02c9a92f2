/**
 * Model of run times: the expected run time is that of the template at reference speed times a factor of the agent.
 *
 * Both are learned as logarithms, from observed run times only. Updates shrink with the number of observations and are
 * clipped, so that a rare long run changes the estimate little. The model also records how often the runs of a template
 * are slow, which distinguishes a run that is unusually long from one that is usual for its template.
 */

const MINIMUM_TEMPLATE_GAIN = 0.05
const MINIMUM_AGENT_GAIN = 0.05
const SHIFTED_AGENT_GAIN = 0.3
const DEVIATION_GAIN = 0.3
const SPEED_SHIFT_LOGARITHM = 1
const CLIP_LIMIT_LOGARITHM = 1.5
const OBSERVATIONS_BEFORE_CLIPPING = 8
const SPREAD_DECAY = 0.99
const MINIMUM_RUN_MILLISECONDS = 0.1
const MINIMUM_SLOW_SHARE = 0.02
const PRIOR_OBSERVATIONS = 5

/** A run is slow when it takes more than this multiple of the estimate, and `SLOW_ALLOWANCE_MILLISECONDS` more. */
export const SLOW_RATIO = 3
/**
 * Time that the scheduling of a busy machine may add to any run. Without it, runs of a few milliseconds, which are
 * those of the fastest agents, count as slow on every hiccup.
 */
const SLOW_ALLOWANCE_MILLISECONDS = 50

/** Learned speed of an agent. */
export interface AgentSpeed {
  /** Logarithm of the factor by which run times at the agent exceed those at reference speed. */
  factorLogarithm: number
  /** Moving average of the logarithm of observed over estimated run time. */
  recentDeviation: number
  observations: number
}

/** Learned run time of a template. */
interface TemplateTime {
  /** Logarithm of the run time in milliseconds at reference speed. */
  referenceLogarithm: number
  observations: number
  /** Decayed numbers of all runs and of slow runs. */
  runCount: number
  slowRunCount: number
  /** Decayed sums of the ratio of run time to estimate, and of the part of that ratio above `SLOW_RATIO`. */
  relativeTime: number
  slowRelativeTime: number
}

export interface RunTimeModel {
  /** Learns from a run; `isTypical` is false at an agent that is not active, whose runs say nothing of the template. */
  observe: (template: string, speed: AgentSpeed, runMilliseconds: number, isTypical: boolean) => void
  /** Run time at reference speed, or undefined where no run was observed. */
  referenceMilliseconds: (template: string) => number | undefined
  /** Observed share of slow runs of the template, at least `MINIMUM_SLOW_SHARE`. */
  slowRunShare: (template: string) => number
  /** Share of the total run time that slow runs spend beyond `SLOW_RATIO`, at least `MINIMUM_SLOW_SHARE`. */
  slowTimeShare: (template: string) => number
}

/** Whether a run counts as evidence that its agent is slow. */
export function isSlowRun (runMilliseconds: number, expectedMilliseconds: number): boolean {
  return runMilliseconds > expectedMilliseconds * SLOW_RATIO + SLOW_ALLOWANCE_MILLISECONDS
}

/** Creates the speed of an agent without observations. */
export function createAgentSpeed (factorLogarithm: number): AgentSpeed {
  return { factorLogarithm, recentDeviation: 0, observations: 0 }
}

function clip (value: number, limit: number): number {
  return Math.min(Math.max(value, -limit), limit)
}

function updateSpeed (speed: AgentSpeed, difference: number): void {
  speed.recentDeviation += DEVIATION_GAIN * (difference - speed.recentDeviation)
  const minimumGain = Math.abs(speed.recentDeviation) > SPEED_SHIFT_LOGARITHM ? SHIFTED_AGENT_GAIN : MINIMUM_AGENT_GAIN
  const gain = Math.max(minimumGain, 1 / (speed.observations + 2))
  const limit = speed.observations < OBSERVATIONS_BEFORE_CLIPPING ? Infinity : CLIP_LIMIT_LOGARITHM
  speed.factorLogarithm += gain * clip(difference, limit)
  speed.observations += 1
}

function updateTemplateTime (time: TemplateTime, difference: number): void {
  const gain = Math.max(MINIMUM_TEMPLATE_GAIN, 1 / (time.observations + 1))
  const limit = time.observations < OBSERVATIONS_BEFORE_CLIPPING ? Infinity : CLIP_LIMIT_LOGARITHM
  time.referenceLogarithm += gain * clip(difference, limit)
  time.observations += 1
}

function updateSpread (time: TemplateTime, runMilliseconds: number, expectedMilliseconds: number): void {
  const ratio = runMilliseconds / expectedMilliseconds
  time.runCount = time.runCount * SPREAD_DECAY + 1
  time.slowRunCount = time.slowRunCount * SPREAD_DECAY + (isSlowRun(runMilliseconds, expectedMilliseconds) ? 1 : 0)
  time.relativeTime = time.relativeTime * SPREAD_DECAY + ratio
  time.slowRelativeTime = time.slowRelativeTime * SPREAD_DECAY + Math.max(0, ratio - SLOW_RATIO)
}

/**
 * Creates a model without observations.
 *
 * @example
 * const model = createRunTimeModel()
 * model.observe('checkout', speed, 120, true)
 * model.referenceMilliseconds('checkout') // 120
 */
export function createRunTimeModel (): RunTimeModel {
  const templates = new Map<string, TemplateTime>()

  return {
    observe: (template, speed, runMilliseconds, isTypical) => {
      const runLogarithm = Math.log(Math.max(runMilliseconds, MINIMUM_RUN_MILLISECONDS))
      let time = templates.get(template)
      if (time === undefined) {
        const referenceLogarithm = runLogarithm - speed.factorLogarithm
        time = {
          referenceLogarithm,
          observations: 0,
          runCount: 0,
          slowRunCount: 0,
          relativeTime: 0,
          slowRelativeTime: 0
        }
        templates.set(template, time)
      }
      const difference = runLogarithm - time.referenceLogarithm - speed.factorLogarithm
      if (isTypical) {
        updateSpread(time, runMilliseconds, Math.exp(time.referenceLogarithm + speed.factorLogarithm))
        updateTemplateTime(time, difference)
      }
      updateSpeed(speed, runLogarithm - time.referenceLogarithm - speed.factorLogarithm)
    },
    referenceMilliseconds: template => {
      const time = templates.get(template)
      return time === undefined ? undefined : Math.exp(time.referenceLogarithm)
    },
    slowRunShare: template => {
      const time = templates.get(template)
      if (time === undefined) return 1
      return Math.max(MINIMUM_SLOW_SHARE, (time.slowRunCount + 1) / (time.runCount + PRIOR_OBSERVATIONS))
    },
    slowTimeShare: template => {
      const time = templates.get(template)
      if (time === undefined) return 1
      return Math.max(MINIMUM_SLOW_SHARE, (time.slowRelativeTime + 1) / (time.relativeTime + PRIOR_OBSERVATIONS))
    }
  }
}
