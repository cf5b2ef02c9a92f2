/** Compares the placement policies in a simulation: `npm run bench:decisions`. */
import { BASE_RUN, type DecisionRunOptions, runDecisions } from './decision-run/decision-run.js'
import { measureDecisionCost } from './decision-run/decision-cost.js'
import { measureLargeJob, type LargeJobOptions } from './decision-run/large-jobs.js'
import { summarize } from './decision-run/summary.js'

const PUSH_PREFETCH_TASKS = 64

type Variant = Pick<DecisionRunOptions, 'placement' | 'prefetchTasks' | 'reservePerUrgentTask'>

const VARIANTS: readonly Variant[] = [
  { placement: 'round-robin', prefetchTasks: PUSH_PREFETCH_TASKS, reservePerUrgentTask: 0 },
  { placement: 'two-choices', prefetchTasks: PUSH_PREFETCH_TASKS, reservePerUrgentTask: 0 },
  { placement: 'late-binding', prefetchTasks: BASE_RUN.prefetchTasks, reservePerUrgentTask: 0 },
  { placement: 'late-binding', prefetchTasks: BASE_RUN.prefetchTasks, reservePerUrgentTask: BASE_RUN.reservePerUrgentTask }
]

interface Scenario {
  readonly name: string
  readonly overrides: Partial<DecisionRunOptions>
}

const AFTER_WARM_UP = { from: 10_000, to: Infinity }

const SCENARIOS: readonly Scenario[] = [
  { name: 'steady 50 %', overrides: { load: 0.5 } },
  { name: 'steady 70 %', overrides: { load: 0.7 } },
  { name: 'steady 90 %', overrides: { load: 0.9 } },
  { name: 'overload 300 %', overrides: { load: 3, deadlineMilliseconds: 5_000 } },
  { name: 'straggler', overrides: { faults: new Map([[0, [{ ...AFTER_WARM_UP, fault: 'slow' }]]]) } },
  { name: 'hanging', overrides: { faults: new Map([[2, [{ ...AFTER_WARM_UP, fault: 'hangs' }]]]) } },
  { name: 'fails all', overrides: { faults: new Map([[1, [{ ...AFTER_WARM_UP, fault: 'fails' }]]]) } },
  { name: 'impossible jobs', overrides: { failingJobShare: 0.2 } },
  { name: 'declared x 10', overrides: { declaredFactor: 10 } },
  { name: 'declared / 10', overrides: { declaredFactor: 0.1 } }
]

function formatNumber (value: number): string {
  return value.toFixed(2).padStart(8)
}

function runScenario (scenario: Scenario, seed: number): void {
  process.stdout.write(`\n${scenario.name}\n`)
  for (const variant of VARIANTS) {
    const options = { ...BASE_RUN, ...scenario.overrides, ...variant, seed }
    const usageBefore = process.cpuUsage()
    const result = runDecisions(options)
    const usage = process.cpuUsage(usageBefore)
    const { urgent, jobs, failed, refused, expired, goodput } = summarize(options, result)
    const ejections = result.events.filter(event => event.kind === 'ejected')
    const firstEjection = ejections[0]?.at ?? NaN
    const microseconds = (usage.user + usage.system) / Math.max(1, result.dispatched)
    process.stdout.write([
      `${variant.placement} ${variant.reservePerUrgentTask}`.padEnd(15),
      'urgent', formatNumber(urgent.overOwnIdeal.median), formatNumber(urgent.overOwnIdeal.percentile99),
      formatNumber(urgent.overFastestIdeal.median), formatNumber(urgent.overFastestIdeal.percentile99),
      'jobs ms', formatNumber(jobs.responseMilliseconds.median), formatNumber(jobs.responseMilliseconds.percentile99),
      'goodput', formatNumber(goodput), `failed ${failed} refused ${refused} expired ${expired}`,
      `ejected ${ejections.length} first ${firstEjection} us/task ${microseconds.toFixed(0)}`
    ].join(' ') + '\n')
  }
}

const [scenarioName, seedText] = process.argv.slice(2)
for (const scenario of SCENARIOS) {
  if (scenarioName === undefined || scenarioName === 'all' || scenario.name === scenarioName) runScenario(scenario, Number(seedText ?? 1))
}

if (scenarioName === undefined || scenarioName === 'all' || scenarioName === 'cost') {
  for (const placement of ['round-robin', 'two-choices', 'late-binding'] as const) {
    for (const agents of [12, 64]) {
      const options = { placement, teams: 510, agents, tasksPerBatch: 200, batches: 500 }
      // Warm-up run, so that the measured run uses optimized code.
      measureDecisionCost(options)
      const microseconds = measureDecisionCost(options).toFixed(2)
      process.stdout.write(`cost, ${placement}, ${agents} agents, 510 teams: ${microseconds} us a task\n`)
    }
  }
}

const LARGE_JOBS: ReadonlyArray<Pick<LargeJobOptions, 'shape' | 'isCrashed'>> = [
  { shape: 'plain' }, { shape: 'plain', isCrashed: true }, { shape: 'fan-in' }, { shape: 'chain' }
]

if (scenarioName === undefined || scenarioName === 'all' || scenarioName === 'large jobs') {
  for (const kind of LARGE_JOBS) {
    for (const agents of [8, 160]) {
      for (const tasks of [200, 600, 2_000]) {
        const options = { ...kind, agents, tasks }
        // Warm-up run, so that the measured run uses optimized code.
        measureLargeJob(options)
        const { microsecondsPerTask, longestMilliseconds } = measureLargeJob(options)
        process.stdout.write([
          `large job, ${kind.shape}${kind.isCrashed === true ? ' with a crash' : ''}, ${agents} agents, ${tasks} tasks:`,
          `${microsecondsPerTask.toFixed(1)} us a task, longest call ${longestMilliseconds.toFixed(1)} ms`
        ].join(' ') + '\n')
      }
    }
  }
}
