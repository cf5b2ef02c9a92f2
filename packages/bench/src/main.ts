#!/usr/bin/env node
/** `npm run bench`: runs every scenario under every policy on loopback; prints a table and writes a JSON file. */
import { writeFileSync } from 'node:fs'
import { integerSetting, readSettingsOrExit, VERSION } from '@baobabpost/common'
import type { Policy } from '@baobabpost/messages'
import { Schema } from 'effect'
import { type BenchSize, policyLabel, runScenario } from './rig/bench-run.js'
import { killProcesses } from './rig/child-process.js'
import { measureEmptyRun } from './rig/empty-run.js'
import type { RunFigures } from './rig/figures.js'
import { createHttpClient } from './rig/http-client.js'
import { SCENARIOS } from './rig/scenarios.js'
import { formatTableRow, TABLE_HEADING } from './rig/figures-table.js'

const PUSH_PREFETCH_TASKS = 64
const LATE_BINDING_PREFETCH_TASKS = 2

const settings = readSettingsOrExit('baobabpost-bench', 'Benchmarks a fleet of real processes on loopback.', VERSION, {
  scenario: { schema: Schema.String, about: 'Name of the only scenario to run; all if empty', fallback: '' },
  policy: { schema: Schema.String, about: 'Prefix of the labels of the policies to run, such as late-binding', fallback: '' },
  seconds: { schema: integerSetting(2, 600), about: 'Measured time of a run, in seconds', fallback: '20' },
  warmUpSeconds: { schema: integerSetting(0, 600), about: 'Load before the measured time, in seconds', fallback: '8' },
  entries: { schema: integerSetting(1, 8), about: 'Number of entries', fallback: '4' },
  agents: { schema: integerSetting(1, 24), about: 'Number of agents', fallback: '12' },
  seed: { schema: integerSetting(0, 1_000_000), about: 'Seed of the load', fallback: '1' },
  output: { schema: Schema.String, about: 'File for the figures as JSON', fallback: 'bench-figures.json' },
  quick: { schema: Schema.Literals(['yes', 'no']), about: 'yes: short runs of a few scenarios', fallback: 'no' }
})

const QUICK_SCENARIOS = ['steady 70 %', 'fails all', 'entry killed']
const QUICK_SECONDS = 6

function createPolicy (placement: Policy['placement'], prefetchTasks: number, urgentReserve: number): Policy {
  return { name: 'default', placement, prefetchTasks, urgentReserve, retryShare: 0.1, hedge: false }
}

const POLICIES: readonly Policy[] = [
  createPolicy('round-robin', PUSH_PREFETCH_TASKS, 0),
  createPolicy('two-choices', PUSH_PREFETCH_TASKS, 0),
  createPolicy('late-binding', LATE_BINDING_PREFETCH_TASKS, 0),
  createPolicy('late-binding', LATE_BINDING_PREFETCH_TASKS, 1)
]

function isSelected (scenario: string): boolean {
  if (settings.scenario !== '') return settings.scenario === scenario
  return settings.quick === 'no' || QUICK_SCENARIOS.includes(scenario)
}

function printLine (line: string): void {
  process.stdout.write(line + '\n')
}

async function main (): Promise<number> {
  const isQuick = settings.quick === 'yes'
  const size: BenchSize = {
    entries: settings.entries,
    agents: settings.agents,
    seed: settings.seed,
    milliseconds: (isQuick ? QUICK_SECONDS : settings.seconds) * 1_000,
    warmUpMilliseconds: (isQuick ? QUICK_SECONDS / 2 : settings.warmUpSeconds) * 1_000
  }
  const client = createHttpClient()
  const emptyRun = await measureEmptyRun(client, size.seed)
  const { median, percentile99 } = emptyRun.responseMilliseconds
  printLine(`Empty run: response ${median} ms (median), ${percentile99} ms (99th), ` +
    `${emptyRun.microsecondsPerCall.toFixed(0)} us of processor a call, client and server together`)
  const runs: RunFigures[] = []
  const failures: string[] = []
  for (const scenario of SCENARIOS.filter(({ name }) => isSelected(name))) {
    for (const policy of POLICIES) {
      if (!policyLabel(policy).startsWith(settings.policy)) continue
      process.stderr.write(`${new Date().toISOString()} ${scenario.name}, ${policyLabel(policy)}\n`)
      try {
        const figures = await runScenario(scenario, policy, size, client)
        runs.push(figures)
        process.stderr.write(formatTableRow(figures) + '\n')
      } catch (failure) {
        failures.push(`${scenario.name}, ${policyLabel(policy)}: ${String(failure)}`)
        process.stderr.write(`failed: ${String(failure)}\n`)
      }
    }
  }
  printLine(TABLE_HEADING)
  for (const figures of runs) printLine(formatTableRow(figures))
  for (const failure of failures) printLine(`FAILED ${failure}`)
  writeFileSync(settings.output, JSON.stringify({ size, emptyRun, runs, failures }, undefined, 2) + '\n')
  client.close()
  return failures.length === 0 ? 0 : 1
}

for (const signal of ['SIGTERM', 'SIGINT'] as const) {
  process.once(signal, () => {
    killProcesses()
    process.exit(1)
  })
}
process.exitCode = await main()
