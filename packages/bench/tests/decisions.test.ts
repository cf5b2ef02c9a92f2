import { describe, expect, it } from 'vitest'
import {
  BASE_RUN, type DecisionRunOptions, type FaultPeriod, runDecisions, type RunSummary, summarize
} from '@baobabpost/bench'

const FAULT_ONSET_MILLISECONDS = 8_000
const EJECTION_LIMIT_MILLISECONDS = 2_000

function createRunOptions (changes: Partial<DecisionRunOptions>): DecisionRunOptions {
  return { ...BASE_RUN, milliseconds: 20_000, warmUpMilliseconds: 5_000, ...changes }
}

function summarizeRun (changes: Partial<DecisionRunOptions>): RunSummary {
  const options = createRunOptions(changes)
  return summarize(options, runDecisions(options))
}

/** Returns the milliseconds from the start of a fault at `agent-1` to its first ejection, by entry. */
function ejectionDelays (fault: FaultPeriod['fault'], seed: number): Map<number, number> {
  const faults = new Map([[1, [{ from: FAULT_ONSET_MILLISECONDS, to: Infinity, fault }]]])
  const { events } = runDecisions(createRunOptions({ faults, seed }))
  const delays = new Map<number, number>()
  for (const { kind, agent, entry, at } of events) {
    if (kind !== 'ejected' || !agent.startsWith('agent-1@') || at < FAULT_ONSET_MILLISECONDS) continue
    if (!delays.has(entry)) delays.set(entry, at - FAULT_ONSET_MILLISECONDS)
  }
  return delays
}

const TWO_CHOICES = { placement: 'two-choices', prefetchTasks: 64, reservePerUrgentTask: 0 } as const
const SEEDS = [1, 2, 3]

// Guards the placement policy against regressions in response time, goodput and ejection, in simulation runs.
describe('late-binding placement in the simulation', () => {
  it('gives the same completion times for the same seed', () => {
    const options = createRunOptions({ milliseconds: 5_000 })
    const times = (): readonly number[] => runDecisions(options).tasks.map(task => task.endedAt)
    expect(times()).toEqual(times())
  })

  it.each(SEEDS)('keeps the p99 slowdown of urgent calls 30 percent below that of two-choices at 90 percent load (seed %i)', seed => {
    const lateBinding = summarizeRun({ load: 0.9, seed }).urgent.overFastestIdeal.percentile99
    const twoChoices = summarizeRun({ load: 0.9, seed, ...TWO_CHOICES }).urgent.overFastestIdeal.percentile99
    expect(lateBinding).toBeLessThanOrEqual(0.7 * twoChoices)
  })

  it.each(SEEDS)('keeps the median response of urgent calls within 1.05 times the run time at 70 percent load (seed %i)', seed => {
    expect(summarizeRun({ seed }).urgent.overOwnIdeal.median).toBeLessThanOrEqual(1.05)
  })

  it.each(SEEDS)('keeps goodput at 90 percent of capacity or above at a load of ten times capacity (seed %i)', seed => {
    const summary = summarizeRun({ load: 10, urgentShare: 0.03, deadlineMilliseconds: 5_000, seed })
    expect(summary.goodput).toBeGreaterThanOrEqual(0.9)
  })

  it.each(SEEDS)('ejects an agent whose upstream fails every task within 2 s (seed %i)', seed => {
    expect(Math.min(...ejectionDelays('fails', seed).values())).toBeLessThanOrEqual(EJECTION_LIMIT_MILLISECONDS)
  })

  it.each(SEEDS)('fails at most one window of tasks per entry at an agent whose upstream fails every task (seed %i)', seed => {
    const faults = new Map([[1, [{ from: FAULT_ONSET_MILLISECONDS, to: Infinity, fault: 'fails' as const }]]])
    const { tasks } = runDecisions(createRunOptions({ faults, seed, milliseconds: FAULT_ONSET_MILLISECONDS + 5_000 }))
    const window = BASE_RUN.slots + BASE_RUN.prefetchTasks
    expect(tasks.filter(task => !task.succeeded).length).toBeLessThanOrEqual(window * BASE_RUN.entries)
  })

  it.each(SEEDS)('ejects an agent whose upstream slows down to a tenth of its speed within 2 s (seed %i)', seed => {
    expect(Math.min(...ejectionDelays('slow', seed).values())).toBeLessThanOrEqual(EJECTION_LIMIT_MILLISECONDS)
  })

  it.each(SEEDS)('ejects an agent whose upstream hangs within 2 s (seed %i)', seed => {
    expect(Math.min(...ejectionDelays('hangs', seed).values())).toBeLessThanOrEqual(EJECTION_LIMIT_MILLISECONDS)
  })

  it.each(SEEDS)('ejects no agent as failing because of jobs that fail at every upstream (seed %i)', seed => {
    const { events } = runDecisions(createRunOptions({ failingJobShare: 0.2, seed }))
    expect(events.filter(({ kind, reason }) => kind === 'ejected' && reason === 'failing')).toEqual([])
  })

  it.each(SEEDS)('ejects at most one agent per 10 s in a fleet without faults (seed %i)', seed => {
    const options = createRunOptions({ seed })
    const ejections = runDecisions(options).events.filter(({ kind }) => kind === 'ejected')
    expect(ejections.length).toBeLessThanOrEqual(options.milliseconds / 10_000)
  })

  it.each([0.1, 10])('raises the p99 slowdown of urgent calls by at most 25 percent when declared run times are wrong by a factor of %f', declaredFactor => {
    const accurate = summarizeRun({}).urgent.overFastestIdeal.percentile99
    const inaccurate = summarizeRun({ declaredFactor }).urgent.overFastestIdeal.percentile99
    expect(inaccurate).toBeLessThanOrEqual(1.25 * accurate)
  })
})
