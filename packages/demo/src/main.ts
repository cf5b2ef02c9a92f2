#!/usr/bin/env node
/** `npm start`: a whole fleet on loopback, the main job through it, and its report. `--stay` keeps it serving. */
import { callerSecret, OPERATOR_SECRET, startFleet, type Fleet, type FleetAgentPlan } from './fleet.js'
import { publishSampleConfiguration, runDemoWorkload, waitUntilServing, type DemoWorkloadReport } from './demo-workload.js'

const SLOTS = 8
const SPEEDS = [1, 1.5, 2, 2.5, 3, 4]
const FIRST_PORT = 8081
const CUSTOMERS = ['medina', 'kalamaja']

function print (line: string): void {
  process.stdout.write(line + '\n')
}

function planAgents (): FleetAgentPlan[] {
  return ['lending', 'ledger'].flatMap(service => SPEEDS.map(speed => ({ service, speed })))
}

function printReport (report: DemoWorkloadReport): void {
  print('')
  for (const job of report.jobs) {
    const ratio = job.responseMilliseconds / job.idealMilliseconds
    print(`${job.title}: ${job.state}, ${job.taskCount} tasks, response ${job.responseMilliseconds.toFixed(0)} ms, ` +
      `ideal ${job.idealMilliseconds.toFixed(0)} ms, ratio ${ratio.toFixed(2)}`)
    print(`  resubmitted through another entry: ${job.resubmissionJoined ? 'the same answer' : 'ANOTHER ANSWER'}`)
  }
  const { counter } = report
  print(`Counter requests: ${counter.answered} answered, ${counter.failed} failed, response over ideal ` +
    `${counter.medianOverIdeal.toFixed(2)} (median), ${counter.worstOverIdeal.toFixed(2)} (worst)`)
  print(`Messages a task: ${report.messagesPerTask.toFixed(2)} in ${report.batchesPerTask.toFixed(2)} batches ` +
    '(heartbeats included)')
  print(`Tasks that started twice: ${report.startedTwice}`)
}

function isWhole (report: DemoWorkloadReport): boolean {
  const jobsAreWhole = report.jobs.every(job => job.state === 'complete' && job.resubmissionJoined)
  return jobsAreWhole && report.counter.failed === 0 && report.startedTwice === 0
}

function printUrls (fleet: Fleet): void {
  const [entry] = fleet.entries
  if (entry === undefined) return
  print('')
  print('The fleet keeps serving. Try:')
  print(`  curl ${entry.url}/readyz`)
  print(`  curl -H 'Authorization: Bearer ${OPERATOR_SECRET}' ${entry.url}/v1/fleet`)
  print(`  curl -H 'Authorization: Bearer ${callerSecret('medina')}' -H 'content-type: application/json' \\`)
  print('    -d \'{"template":"reserve-tool","customer":"medina","input":{"tool":"drill-7","member":"awa"}}\' \\')
  print(`    ${entry.url}/v1/calls`)
  print('Other entries: ' + fleet.entries.slice(1).map(other => other.url).join(' '))
}

async function main (): Promise<number> {
  const stay = process.argv.includes('--stay')
  print('Starting the platform log, 3 entries in 3 failure domains and 12 agents with upstreams of unlike speeds')
  const fleet = await startFleet({
    failureDomains: ['dakar-1', 'dakar-2', 'dakar-3'],
    agents: planAgents(),
    slots: SLOTS,
    customers: CUSTOMERS,
    logLevel: 'error',
    ...(stay ? { firstPort: FIRST_PORT } : {})
  })
  const published = await publishSampleConfiguration(fleet)
  await waitUntilServing(fleet)
  print(`Published ${published} registers of sample configuration; every partition has an owner`)
  const report = await runDemoWorkload(fleet, SLOTS, line => { print(`  ${line}`) })
  printReport(report)
  if (stay) {
    printUrls(fleet)
    await new Promise<void>(resolve => { process.once('SIGINT', resolve).once('SIGTERM', resolve) })
  }
  await fleet.stop()
  return isWhole(report) ? 0 : 1
}

main().then(
  code => { process.exit(code) },
  (failure: unknown) => {
    process.stderr.write(`demo: ${failure instanceof Error ? failure.stack ?? failure.message : String(failure)}\n`)
    process.exit(1)
  })
