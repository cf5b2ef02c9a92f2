/** One run of the bench: a fleet, a warm-up, a measured load with its disturbances, and the figures. */
import { setTimeout as sleep } from 'node:timers/promises'
import type { Policy } from '@baobabpost/messages'
import type { ProcessRole, RunningProcess } from './child-process.js'
import { figuresOf, type RoleUse, type RunFigures } from './figures.js'
import { type BenchFleet, startFleet } from './fleet.js'
import type { HttpClient } from './http-client.js'
import { type LoadRecord, runLoad } from './load.js'
import type { Scenario } from './scenarios.js'

const SLOTS = 8
const FASTEST = 4
const BYTES_PER_MEBIBYTE = 1_048_576
const ROLES: readonly ProcessRole[] = ['entry', 'agent', 'stand-in-upstream', 'stand-in-platform']
const COUNTERS_MILLISECONDS = 1_500

/** How large and how long runs are. */
export interface BenchSize {
  readonly entries: number
  readonly agents: number
  readonly warmUpMilliseconds: number
  readonly milliseconds: number
  readonly seed: number
}

/** Counters at one moment. */
interface Counters {
  readonly processorMilliseconds: ReadonlyMap<RunningProcess, number>
  readonly messages: number
  readonly starts: number
  readonly benchMicroseconds: number
}

function readCounters (fleet: BenchFleet): Counters {
  const { metrics } = fleet
  const bench = process.cpuUsage()
  return {
    processorMilliseconds: new Map(fleet.processes().map(running => [running, running.processorMilliseconds()])),
    messages: metrics.sum('entry', 'link.messages.count') + metrics.sum('agent', 'link.messages.count'),
    starts: metrics.sum('agent', 'tasks.started.count'),
    benchMicroseconds: bench.user + bench.system
  }
}

function useOf (fleet: BenchFleet, before: Counters, after: Counters, tasks: number): RunFigures['use'] {
  const use: Partial<Record<ProcessRole | 'bench', RoleUse>> = {}
  for (const role of ROLES) {
    let milliseconds = 0
    let peak = 0
    for (const running of fleet.processes()) {
      if (running.role !== role) continue
      const from = before.processorMilliseconds.get(running) ?? 0
      milliseconds += (after.processorMilliseconds.get(running) ?? 0) - from
      peak = Math.max(peak, running.peakBytes())
    }
    use[role] = { microsecondsPerTask: milliseconds * 1_000 / tasks, peakMebibytes: peak / BYTES_PER_MEBIBYTE }
  }
  const benchMicroseconds = after.benchMicroseconds - before.benchMicroseconds
  const peakMebibytes = process.resourceUsage().maxRSS / 1_024
  use.bench = { microsecondsPerTask: benchMicroseconds / tasks, peakMebibytes }
  return use
}

/** Counts the tasks of submissions that any upstreams started more than once. */
async function countDoubled (fleet: BenchFleet, client: HttpClient): Promise<number> {
  const starts = new Map<string, number>()
  for (const { upstreamAddress } of fleet.upstreams) {
    const answer = await client.send({ method: 'GET', address: upstreamAddress, path: '/starts' })
    for (const [task, count] of Object.entries(answer.body as Record<string, number>)) {
      starts.set(task, (starts.get(task) ?? 0) + count)
    }
  }
  let doubled = 0
  for (const count of starts.values()) if (count > 1) doubled += 1
  return doubled
}

async function disturb (scenario: Scenario, fleet: BenchFleet, client: HttpClient, size: BenchSize): Promise<void> {
  let elapsed = 0
  for (const { at, act } of scenario.disturbances) {
    const time = at * size.milliseconds
    await sleep(time - elapsed)
    elapsed = time
    await act(fleet, client)
  }
}

/**
 * Runs a scenario under a policy.
 *
 * @example
 * const figures = await runScenario(scenario, policy, size, client)
 */
export async function runScenario (
  scenario: Scenario, policy: Policy, size: BenchSize, client: HttpClient
): Promise<RunFigures> {
  const { declaredFactor } = scenario
  const plan = { entries: size.entries, agents: size.agents, slots: SLOTS, fastest: FASTEST, policy, declaredFactor }
  const fleet = await startFleet(plan, client)
  try {
    const common = { fleet, client, fastest: FASTEST, ...scenario.load }
    const warmUp = { ...common, load: Math.min(scenario.load.load, 0.7), cancelledJobs: 0 }
    await runLoad({ ...warmUp, seed: size.seed + 1, milliseconds: size.warmUpMilliseconds })
    await sleep(COUNTERS_MILLISECONDS)
    const before = readCounters(fleet)
    const from = Date.now()
    const measured = runLoad({ ...common, seed: size.seed, milliseconds: size.milliseconds })
    const [record] = await Promise.all([measured, disturb(scenario, fleet, client, size)]) as [LoadRecord, undefined]
    await sleep(COUNTERS_MILLISECONDS)
    const after = readCounters(fleet)
    const bounds = { from, to: from + size.milliseconds, capacity: fleet.capacity }
    return {
      scenario: scenario.name,
      policy: policyLabel(policy),
      tasks: record.tasksSent,
      ...figuresOf(record, bounds),
      messagesPerTask: (after.messages - before.messages) / record.tasksSent,
      startsPerTask: (after.starts - before.starts) / record.tasksSent,
      doubledTasks: await countDoubled(fleet, client),
      invariantsViolated: fleet.metrics.sum('entry', 'invariants.violated.count') +
        fleet.metrics.sum('agent', 'invariants.violated.count'),
      use: useOf(fleet, before, after, record.tasksSent)
    }
  } finally {
    await fleet.stop()
  }
}

/** Short text that tells policies apart. */
export function policyLabel (policy: Policy): string {
  return `${policy.placement} r${policy.urgentReserve ?? 'default'} p${policy.prefetchTasks}`
}
