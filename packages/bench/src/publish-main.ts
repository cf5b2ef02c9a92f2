/**
 * Measures the time from a publication until it is in force at three processes, through the stand-in platform over
 * sockets: `npm run bench:publish`.
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

/** A run: what goes wrong, and before every how many publications. */
interface Scenario {
  readonly name: string
  readonly fault: FaultChange
  readonly every: number
}

const SCENARIOS: readonly Scenario[] = [
  { name: 'no fault', fault: {}, every: PUBLICATION_COUNT },
  { name: 'every 10th acknowledgement lost', fault: { loseAcknowledgements: 1 }, every: 10 },
  { name: 'every 10th append cut', fault: { loseAppends: 1 }, every: 10 },
  { name: 'appends take 200 ms', fault: { appendMilliseconds: 200 }, every: PUBLICATION_COUNT }
]

interface Process {
  readonly publisher: Publisher
  readonly close: () => void
}

function startProcess (address: string, seed: number, applied: (change: RegisterChange) => void): Process {
  let outcomes: readonly WriteOutcome[] = []
  const fold = createRegisterProjection({
    retentionMilliseconds: RETENTION_MILLISECONDS,
    invariants: createInvariants((name, detail) => { throw new Error(`${name}: ${detail}`) }),
    onBadRecord: ({ fault }) => { throw new Error(fault) },
    onOutcomes: told => { outcomes = told }
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
        changes.forEach(applied)
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

/** Publishes one version after the other and gives the times until each was in force everywhere. */
async function publishAll (platform: StandInPlatform, scenario: Scenario): Promise<number[]> {
  const times: number[] = []
  let left = PROCESS_COUNT
  let inForce = (): void => {}
  const applied = (): void => {
    left -= 1
    if (left === 0) inForce()
  }
  const numbers = Array.from({ length: PROCESS_COUNT }, (_, index) => index + 1)
  const processes = numbers.map(number => startProcess(platform.address, number, applied))
  let replaces = 0
  for (let count = 1; count <= PUBLICATION_COUNT; count += 1) {
    if (count % scenario.every === 0 || count === 1) platform.inject(scenario.fault)
    const { publisher } = processes[count % PROCESS_COUNT] as Process
    const value = { name: 'measured', share: count, maximumQueuedTasks: 1 }
    left = PROCESS_COUNT
    const everywhere = new Promise<void>(resolve => { inForce = resolve })
    const startedAt = performance.now()
    const result = await new Promise<PublishResult>(resolve => {
      publisher.publish({ register: TEAM, value, replaces }, Date.now(), resolve)
    })
    await everywhere
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
  const at = (share: number): string => (times[Math.ceil(times.length * share) - 1] ?? NaN).toFixed(1)
  process.stdout.write(`| ${scenario.name} | ${times.length} | ${platform.records().length} ` +
    `| ${at(0.5)} | ${at(0.99)} | ${at(1)} |\n`)
  await platform.close()
}

process.stdout.write('| run | publications | records on the log | median ms | 99th percentile ms | maximum ms |\n')
process.stdout.write('|---|---|---|---|---|---|\n')
for (const scenario of SCENARIOS) await runScenario(scenario)
