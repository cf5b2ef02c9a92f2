/** Runs one scenario of the bench: starts a fleet, warms it up, applies load and faults, and calculates the figures. */
import { setTimeout as sleep } from 'node:timers/promises'
import type { Policy } from '@baobabpost/messages'
import type { ProcessRole, RunningProcess } from './child-process.js'
import { calculateFigures, type RoleUse, type RunFigures } from './figures.js'
import { type BenchFleet, startFleet } from './fleet.js'
import type { HttpClient } from './http-client.js'
import { type LoadRecord, runLoad } from './load-generator.js'
import type { Scenario } from './scenarios.js'

const SLOTS_PER_UPSTREAM = 8
const MAXIMUM_SPEED = 4
const BYTES_PER_MEBIBYTE = 1_048_576
const ROLES: readonly ProcessRole[] = ['entry', 'agent', 'stand-in-upstream', 'stand-in-platform']
const METRICS_DELAY_MILLISECONDS = 1_500

/** Fleet size, duration and seed of the runs. */
export interface BenchSize {
  readonly entries: number
  readonly agents: number
  readonly warmUpMilliseconds: number
  readonly milliseconds: number
  readonly seed: number
}

/** Counter values at one point in time. */
interface Counters {
  readonly processorMilliseconds: ReadonlyMap<RunningProcess, number>
  readonly messages: number
  readonly starts: number
  readonly benchMicroseconds: number
}

function readCounters (fleet: BenchFleet): Counters {
  const { metricsCollector } = fleet
  const bench = process.cpuUsage()
  return {
    processorMilliseconds: new Map(fleet.processes().map(running => [running, running.processorMilliseconds()])),
    messages: metricsCollector.sum('entry', 'link.messages.count') + metricsCollector.sum('agent', 'link.messages.count'),
    starts: metricsCollector.sum('agent', 'tasks.started.count'),
    benchMicroseconds: bench.user + bench.system
  }
}

function calculateUse (fleet: BenchFleet, before: Counters, after: Counters, tasks: number): RunFigures['use'] {
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

/** Counts the tasks of submissions that were started more than once, over all upstreams. */
async function countTasksStartedTwice (fleet: BenchFleet, client: HttpClient): Promise<number> {
  const starts = new Map<string, number>()
  for (const { upstreamAddress } of fleet.upstreams) {
    const answer = await client.send({ method: 'GET', address: upstreamAddress, path: '/starts' })
    for (const [task, count] of Object.entries(answer.body as Record<string, number>)) {
      starts.set(task, (starts.get(task) ?? 0) + count)
    }
  }
  let tasksStartedTwice = 0
  for (const count of starts.values()) if (count > 1) tasksStartedTwice += 1
  return tasksStartedTwice
}

async function injectFaults (
  scenario: Scenario, fleet: BenchFleet, client: HttpClient, size: BenchSize
): Promise<void> {
  let elapsed = 0
  for (const { at, inject } of scenario.faultInjections) {
    const time = at * size.milliseconds
    await sleep(time - elapsed)
    elapsed = time
    await inject(fleet, client)
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
  const plan = {
    entries: size.entries,
    agents: size.agents,
    slots: SLOTS_PER_UPSTREAM,
    maximumSpeed: MAXIMUM_SPEED,
    policy,
    declaredFactor
  }
  const fleet = await startFleet(plan, client)
  try {
    const common = { fleet, client, maximumSpeed: MAXIMUM_SPEED, ...scenario.load }
    const warmUp = { ...common, load: Math.min(scenario.load.load, 0.7), cancelledJobs: 0 }
    await runLoad({ ...warmUp, seed: size.seed + 1, milliseconds: size.warmUpMilliseconds })
    await sleep(METRICS_DELAY_MILLISECONDS)
    const before = readCounters(fleet)
    const from = Date.now()
    const measured = runLoad({ ...common, seed: size.seed, milliseconds: size.milliseconds })
    const [record] = await Promise.all([
      measured, injectFaults(scenario, fleet, client, size)
    ]) as [LoadRecord, undefined]
    await sleep(METRICS_DELAY_MILLISECONDS)
    const after = readCounters(fleet)
    const period = { from, to: from + size.milliseconds, capacity: fleet.capacity }
    return {
      scenario: scenario.name,
      policy: policyLabel(policy),
      tasks: record.tasksSent,
      ...calculateFigures(record, period),
      messagesPerTask: (after.messages - before.messages) / record.tasksSent,
      startsPerTask: (after.starts - before.starts) / record.tasksSent,
      doubledTasks: await countTasksStartedTwice(fleet, client),
      invariantsViolated: fleet.metricsCollector.sum('entry', 'invariants.violated.count') +
        fleet.metricsCollector.sum('agent', 'invariants.violated.count'),
      use: calculateUse(fleet, before, after, record.tasksSent)
    }
  } finally {
    await fleet.stop()
  }
}

/** Returns a short label that is unique among the policies of the bench. */
export function policyLabel (policy: Policy): string {
  return `${policy.placement} r${policy.urgentReserve ?? 'default'} p${policy.prefetchTasks}`
}
