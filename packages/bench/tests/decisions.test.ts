import { describe, expect, it } from 'vitest'
import {
  BASE_RUN, type DecisionRunOptions, type FaultPeriod, runDecisions, type RunSummary, summarize
} from '@baobabpost/bench'

const ONSET_MILLISECONDS = 8_000
const FOUND_WITHIN_MILLISECONDS = 2_000

function runOf (changes: Partial<DecisionRunOptions>): DecisionRunOptions {
  return { ...BASE_RUN, milliseconds: 20_000, warmUpMilliseconds: 5_000, ...changes }
}

function summaryOf (changes: Partial<DecisionRunOptions>): RunSummary {
  const options = runOf(changes)
  return summarize(options, runDecisions(options))
}

/** Times from the onset of a fault at an agent to its first ejection, by entry. */
function ejectionDelays (fault: FaultPeriod['fault'], seed: number): Map<number, number> {
  const faults = new Map([[1, [{ from: ONSET_MILLISECONDS, to: Infinity, fault }]]])
  const { events } = runDecisions(runOf({ faults, seed }))
  const delays = new Map<number, number>()
  for (const { kind, agent, entry, at } of events) {
    if (kind !== 'ejected' || !agent.startsWith('agent-1@') || at < ONSET_MILLISECONDS) continue
    if (!delays.has(entry)) delays.set(entry, at - ONSET_MILLISECONDS)
  }
  return delays
}

const PUSH = { placement: 'two-choices', prefetchTasks: 64, reservePerUrgentTask: 0 } as const
const SEEDS = [1, 2, 3]

describe('the policy under load with injected time', () => {
  it('repeats itself for the same seed', () => {
    const options = runOf({ milliseconds: 5_000 })
    const times = (): readonly number[] => runDecisions(options).tasks.map(task => task.endedAt)
    expect(times()).toEqual(times())
  })

  it.each(SEEDS)('keeps urgent calls 30 percent closer to the fastest ideal than two choices at nine tenths load (seed %i)', seed => {
    const late = summaryOf({ load: 0.9, seed }).urgent.overFastestIdeal.percentile99
    const push = summaryOf({ load: 0.9, seed, ...PUSH }).urgent.overFastestIdeal.percentile99
    expect(late).toBeLessThanOrEqual(0.7 * push)
  })

  it.each(SEEDS)('keeps the median of urgent calls within 1.05 of ideal at seven tenths load (seed %i)', seed => {
    expect(summaryOf({ seed }).urgent.overOwnIdeal.median).toBeLessThanOrEqual(1.05)
  })

  it.each(SEEDS)('keeps goodput at nine tenths of capacity in a burst of ten times capacity (seed %i)', seed => {
    const summary = summaryOf({ load: 10, urgentShare: 0.03, deadlineMilliseconds: 5_000, seed })
    expect(summary.goodput).toBeGreaterThanOrEqual(0.9)
  })

  it.each(SEEDS)('ejects a worker that fails everything within 2 s (seed %i)', seed => {
    expect(Math.min(...ejectionDelays('fails', seed).values())).toBeLessThanOrEqual(FOUND_WITHIN_MILLISECONDS)
  })

  it.each(SEEDS)('loses at most a window of tasks at each entry to a worker that fails everything (seed %i)', seed => {
    const faults = new Map([[1, [{ from: ONSET_MILLISECONDS, to: Infinity, fault: 'fails' as const }]]])
    const { tasks } = runDecisions(runOf({ faults, seed, milliseconds: ONSET_MILLISECONDS + 5_000 }))
    const window = BASE_RUN.slots + BASE_RUN.prefetchTasks
    expect(tasks.filter(task => !task.succeeded).length).toBeLessThanOrEqual(window * BASE_RUN.entries)
  })

  it.each(SEEDS)('ejects a straggler at a tenth of its speed within 2 s (seed %i)', seed => {
    expect(Math.min(...ejectionDelays('slow', seed).values())).toBeLessThanOrEqual(FOUND_WITHIN_MILLISECONDS)
  })

  it.each(SEEDS)('ejects a hanging worker within 2 s (seed %i)', seed => {
    expect(Math.min(...ejectionDelays('hangs', seed).values())).toBeLessThanOrEqual(FOUND_WITHIN_MILLISECONDS)
  })

  it.each(SEEDS)('ejects no one as failing for jobs that can never run (seed %i)', seed => {
    const { events } = runDecisions(runOf({ failingJobs: 0.2, seed }))
    expect(events.filter(({ kind, reason }) => kind === 'ejected' && reason === 'failing')).toEqual([])
  })

  it.each(SEEDS)('ejects nobody by mistake more often than once in ten seconds in a healthy fleet (seed %i)', seed => {
    const options = runOf({ seed })
    const ejections = runDecisions(options).events.filter(({ kind }) => kind === 'ejected')
    expect(ejections.length).toBeLessThanOrEqual(options.milliseconds / 10_000)
  })

  it.each([0.1, 10])('changes urgent responses by little when declarations are off by %f', declaredFactor => {
    const right = summaryOf({}).urgent.overFastestIdeal.percentile99
    const wrong = summaryOf({ declaredFactor }).urgent.overFastestIdeal.percentile99
    expect(wrong).toBeLessThanOrEqual(1.25 * right)
  })
})
