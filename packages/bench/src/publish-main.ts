/**
 * Measures the time from the publication of a configuration change until three log clients have applied it, over
 * sockets to a stand-in platform: `npm run bench:publish`.
 */
import { createInvariants, createRandom, silentLogger } from '@baobabpost/common'
import { createConfiguration, createPublisher, type Publisher, type PublishResult } from '@baobabpost/configuration'
import {
  createPlatformLogClient, createRegisterProjection, type RegisterChange, type WriteOutcome
} from '@baobabpost/platform-log'
import { createStandInPlatform, type FaultChange, type StandInPlatform } from '@baobabpost/stand-in-platform'

const PROCESS_COUNT = 3
const PUBLICATION_COUNT = 1_000
const RETENTION_MILLISECONDS = 3_600_000
const TICK_MILLISECONDS = 50
const TEAM = 'team/measured'

/** A fault and the number of publications between its injections. */
interface Scenario {
  readonly name: string
  readonly fault: FaultChange
  readonly publicationInterval: number
}

const SCENARIOS: readonly Scenario[] = [
  { name: 'no fault', fault: {}, publicationInterval: PUBLICATION_COUNT },
  { name: 'every 10th acknowledgement lost', fault: { loseAcknowledgements: 1 }, publicationInterval: 10 },
  { name: 'every 10th append cut', fault: { loseAppends: 1 }, publicationInterval: 10 },
  { name: 'appends take 200 ms', fault: { appendMilliseconds: 200 }, publicationInterval: PUBLICATION_COUNT }
]

interface PublishingProcess {
  readonly publisher: Publisher
  readonly close: () => void
}

function startProcess (address: string, seed: number, onApplied: (change: RegisterChange) => void): PublishingProcess {
  let outcomes: readonly WriteOutcome[] = []
  const fold = createRegisterProjection({
    retentionMilliseconds: RETENTION_MILLISECONDS,
    invariants: createInvariants((name, detail) => { throw new Error(`${name}: ${detail}`) }),
    onBadRecord: ({ fault }) => { throw new Error(fault) },
    onOutcomes: reported => { outcomes = reported }
  })
  const configuration = createConfiguration({ projection: fold })
  const client = createPlatformLogClient({
    address,
    author: `process-${seed}`,
    random: createRandom(seed),
    logger: silentLogger,
    maximumAppendsPerSecond: 400,
    listener: {
      onBatch (batch) {
        const now = Date.now()
        const changes = fold.apply(batch, now)
        configuration.registersChanged(changes, now)
        publisher.handleWriteOutcomes(outcomes)
        publisher.answerRefusedPublications()
        outcomes = []
        changes.forEach(onApplied)
      },
      onAppendOutcome: () => {}
    }
  })
  const publisher = createPublisher({ projection: fold, history: configuration.history, append: client.append })
  const ticker = setInterval(() => { publisher.tick(Date.now()) }, TICK_MILLISECONDS)
  client.start()
  return {
    publisher,
    close () {
      clearInterval(ticker)
      client.close()
    }
  }
}

/** Publishes versions one after the other; returns the milliseconds until each was applied at all processes. */
async function publishAll (platform: StandInPlatform, scenario: Scenario): Promise<number[]> {
  const times: number[] = []
  let remaining = PROCESS_COUNT
  let resolveApplied = (): void => {}
  const applied = (): void => {
    remaining -= 1
    if (remaining === 0) resolveApplied()
  }
  const numbers = Array.from({ length: PROCESS_COUNT }, (_, index) => index + 1)
  const processes = numbers.map(number => startProcess(platform.address, number, applied))
  let replaces = 0
  for (let count = 1; count <= PUBLICATION_COUNT; count += 1) {
    if (count % scenario.publicationInterval === 0 || count === 1) platform.inject(scenario.fault)
    const { publisher } = processes[count % PROCESS_COUNT] as PublishingProcess
    const value = { name: 'measured', share: count, maximumQueuedTasks: 1 }
    remaining = PROCESS_COUNT
    const appliedEverywhere = new Promise<void>(resolve => { resolveApplied = resolve })
    const startedAt = performance.now()
    const result = await new Promise<PublishResult>(resolve => {
      publisher.publish({ register: TEAM, value, replaces }, Date.now(), resolve)
    })
    await appliedEverywhere
    times.push(performance.now() - startedAt)
    if (result.kind !== 'held') throw new Error(`publication ${count}: ${result.problem.detail}`)
    replaces = result.version
  }
  for (const process of processes) process.close()
  return times
}

async function runScenario (scenario: Scenario): Promise<void> {
  const platform = await createStandInPlatform()
  const times = (await publishAll(platform, scenario)).sort((left, right) => left - right)
  const percentile = (share: number): string => (times[Math.ceil(times.length * share) - 1] ?? NaN).toFixed(1)
  process.stdout.write(`| ${scenario.name} | ${times.length} | ${platform.records().length} ` +
    `| ${percentile(0.5)} | ${percentile(0.99)} | ${percentile(1)} |\n`)
  await platform.close()
}

process.stdout.write('| run | publications | records on the log | median ms | 99th percentile ms | maximum ms |\n')
process.stdout.write('|---|---|---|---|---|---|\n')
for (const scenario of SCENARIOS) await runScenario(scenario)
