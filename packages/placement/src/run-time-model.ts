/**
 * Learned run times: a template's run time at reference speed times a factor of the agent.
 *
 * Both are learned as logarithms, from observed run times only. Steps shrink with the number of observations and are
 * clipped, so that a rare long task moves the estimate little. Each template also keeps how its runs spread around
 * the estimate, by which an overdue task is told from a long one.
 */

const LEAST_TEMPLATE_GAIN = 0.05
const LEAST_AGENT_GAIN = 0.05
const SHIFTED_AGENT_GAIN = 0.3
const RECENT_GAIN = 0.3
const SHIFT_OF_LOGARITHM = 1
const CLIPPED_LOGARITHM = 1.5
const OBSERVATIONS_BEFORE_CLIPPING = 8
const SPREAD_DECAY = 0.99
const LEAST_RUN_MILLISECONDS = 0.1
const LEAST_SHARE = 0.02
const PRIOR_OBSERVATIONS = 5

/** A run of more than this many times the estimate is slow. */
export const SLOW_RATIO = 3

/** What is learned about the speed of an agent. */
export interface AgentSpeed {
  /** Logarithm of the factor on run times at reference speed. */
  logarithm: number
  /** Recent mean of the logarithm of observed over estimated run time. */
  deviation: number
  observations: number
}

/** What is learned about a template. */
interface TemplateTime {
  /** Logarithm of the run time at reference speed, milliseconds. */
  logarithm: number
  observations: number
  /** Decayed numbers of runs, and of runs beyond `SLOW_RATIO`. */
  runs: number
  slowRuns: number
  /** Decayed sums of run times over estimates, whole and the part beyond `SLOW_RATIO`. */
  time: number
  slowTime: number
}

/** Learned run times of templates and agents. */
export interface RunTimeModel {
  /** Learns from a run; `typical` is false for one at a suspected agent, which says nothing of the template. */
  observe: (template: string, speed: AgentSpeed, runMilliseconds: number, typical: boolean) => void
  /** Run time at reference speed, or undefined where nothing was observed. */
  reference: (template: string) => number | undefined
  /** Share of runs of the template that are slow, as observed, at least `LEAST_SHARE`. */
  slowRunShare: (template: string) => number
  /** Share of the running time that slow runs spend beyond the limit, at least `LEAST_SHARE`. */
  slowTimeShare: (template: string) => number
}

/** The speed of an agent of which nothing was observed. */
export function createAgentSpeed (logarithm: number): AgentSpeed {
  return { logarithm, deviation: 0, observations: 0 }
}

function clip (value: number, limit: number): number {
  return Math.min(Math.max(value, -limit), limit)
}

function learnSpeed (speed: AgentSpeed, difference: number): void {
  speed.deviation += RECENT_GAIN * (difference - speed.deviation)
  const least = Math.abs(speed.deviation) > SHIFT_OF_LOGARITHM ? SHIFTED_AGENT_GAIN : LEAST_AGENT_GAIN
  const gain = Math.max(least, 1 / (speed.observations + 2))
  const limit = speed.observations < OBSERVATIONS_BEFORE_CLIPPING ? Infinity : CLIPPED_LOGARITHM
  speed.logarithm += gain * clip(difference, limit)
  speed.observations += 1
}

function learnTemplate (time: TemplateTime, difference: number): void {
  const gain = Math.max(LEAST_TEMPLATE_GAIN, 1 / (time.observations + 1))
  const limit = time.observations < OBSERVATIONS_BEFORE_CLIPPING ? Infinity : CLIPPED_LOGARITHM
  time.logarithm += gain * clip(difference, limit)
  time.observations += 1
}

function learnSpread (time: TemplateTime, ratio: number): void {
  time.runs = time.runs * SPREAD_DECAY + 1
  time.slowRuns = time.slowRuns * SPREAD_DECAY + (ratio > SLOW_RATIO ? 1 : 0)
  time.time = time.time * SPREAD_DECAY + ratio
  time.slowTime = time.slowTime * SPREAD_DECAY + Math.max(0, ratio - SLOW_RATIO)
}

/**
 * Makes a model that has observed nothing.
 *
 * @example
 * const model = createRunTimeModel()
 * model.observe('checkout', speed, 120, true)
 * model.reference('checkout') // 120
 */
export function createRunTimeModel (): RunTimeModel {
  const templates = new Map<string, TemplateTime>()

  return {
    observe: (template, speed, runMilliseconds, typical) => {
      const logarithm = Math.log(Math.max(runMilliseconds, LEAST_RUN_MILLISECONDS))
      let time = templates.get(template)
      if (time === undefined) {
        const start = logarithm - speed.logarithm
        time = { logarithm: start, observations: 0, runs: 0, slowRuns: 0, time: 0, slowTime: 0 }
        templates.set(template, time)
      }
      const difference = logarithm - time.logarithm - speed.logarithm
      if (typical) {
        learnSpread(time, Math.exp(difference))
        learnTemplate(time, difference)
      }
      learnSpeed(speed, logarithm - time.logarithm - speed.logarithm)
    },
    reference: template => {
      const time = templates.get(template)
      return time === undefined ? undefined : Math.exp(time.logarithm)
    },
    slowRunShare: template => {
      const time = templates.get(template)
      if (time === undefined) return 1
      return Math.max(LEAST_SHARE, (time.slowRuns + 1) / (time.runs + PRIOR_OBSERVATIONS))
    },
    slowTimeShare: template => {
      const time = templates.get(template)
      if (time === undefined) return 1
      return Math.max(LEAST_SHARE, (time.slowTime + 1) / (time.time + PRIOR_OBSERVATIONS))
    }
  }
}
