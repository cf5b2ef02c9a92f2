import { afterEach, describe, expect, test, vi } from 'vitest'
import { createInvariants, createRandom, silentLogger } from '@baobabpost/common'
import {
  createPlatformLogClient, createRegisterProjection, type AppendOutcome, type LogBatch, type PlatformLogClient,
  type PlatformLogClientOptions, type RegisterProjection, type WriteOutcome
} from '@baobabpost/platform-log'
import { createStandInPlatform, type StandInPlatform, type StandInPlatformOptions } from '@baobabpost/stand-in-platform'
import { team } from './log-fixture.js'

interface Reader {
  readonly client: PlatformLogClient
  readonly projection: RegisterProjection
  readonly batches: LogBatch[]
  readonly appendOutcomes: AppendOutcome[]
  readonly writeOutcomes: WriteOutcome[]
}

const closeCallbacks: Array<() => Promise<void> | void> = []

afterEach(async () => {
  for (const close of closeCallbacks.splice(0).reverse()) await close()
})

async function startPlatform (options: Partial<StandInPlatformOptions> = {}): Promise<StandInPlatform> {
  const platform = await createStandInPlatform(options)
  closeCallbacks.push(async () => { await platform.close() })
  return platform
}

function startReader (address: string, options: Partial<PlatformLogClientOptions> = {}): Reader {
  const batches: LogBatch[] = []
  const appendOutcomes: AppendOutcome[] = []
  const writeOutcomes: WriteOutcome[] = []
  const projection = createRegisterProjection({
    retentionMilliseconds: 60_000,
    invariants: createInvariants((name, detail) => { throw new Error(`${name}: ${detail}`) }),
    onBadRecord: () => {},
    onOutcomes: reported => { writeOutcomes.push(...reported) }
  })
  const client = createPlatformLogClient({
    address,
    author: 'test',
    random: createRandom(1),
    logger: silentLogger,
    waitMilliseconds: 200,
    answerMilliseconds: 200,
    listener: {
      onBatch (batch) {
        batches.push(batch)
        projection.apply(batch, Date.now())
      },
      onAppendOutcome: outcome => { appendOutcomes.push(outcome) }
    },
    ...options
  })
  client.start()
  closeCallbacks.push(() => { client.close() })
  return { client, projection, batches, appendOutcomes, writeOutcomes }
}

async function eventually (condition: () => boolean): Promise<void> {
  await vi.waitUntil(condition, { timeout: 20_000, interval: 5 })
}

function publish (reader: Reader, share: number, replaces: number): string {
  return reader.client.append([{ kind: 'write', register: 'team/a', replaces, value: team('a', share) }])
}

describe('createPlatformLogClient, against a stand-in log over HTTP', () => {
  test('delivers a record appended by one process to another process', async () => {
    const platform = await startPlatform()
    const [author, reader] = [startReader(platform.address), startReader(platform.address)]
    publish(author, 2, 0)
    await eventually(() => reader.projection.read('team/a') !== undefined && author.writeOutcomes.length === 1)
    expect(reader.projection.read('team/a')).toEqual({ register: 'team/a', version: 1, value: team('a', 2) })
    await eventually(() => author.appendOutcomes.length === 1)
  })

  test('an append whose acknowledgement is lost is confirmed by reading it back, and the record is on the log once', async () => {
    const platform = await startPlatform()
    const reader = startReader(platform.address)
    platform.inject({ loseAcknowledgements: 3 })
    const nonces = [publish(reader, 1, 0), publish(reader, 2, 1), publish(reader, 3, 2)]
    await eventually(() => reader.appendOutcomes.length === 3)
    expect(reader.appendOutcomes.map(outcome => [outcome.kind, outcome.nonce]).sort())
      .toEqual(nonces.map(nonce => ['appended', nonce]).sort())
    expect(platform.records()).toHaveLength(3)
  })

  test('an append whose connection is cut before it takes effect is sent again', async () => {
    const platform = await startPlatform()
    const reader = startReader(platform.address)
    platform.inject({ loseAppends: 2 })
    publish(reader, 1, 0)
    await eventually(() => reader.writeOutcomes.length === 1)
    expect(platform.records()).toHaveLength(1)
    expect(reader.writeOutcomes[0]?.isApplied).toBe(true)
  })

  test('an append that takes effect after its time-out takes effect once', async () => {
    const platform = await startPlatform({ appendMilliseconds: 300 })
    const reader = startReader(platform.address, { answerMilliseconds: 100, abandonAfterMilliseconds: 60_000 })
    publish(reader, 1, 0)
    await eventually(() => reader.appendOutcomes.length === 1)
    expect(reader.projection.read('team/a')?.version).toBe(1)
    expect(reader.writeOutcomes.filter(outcome => outcome.isApplied)).toHaveLength(1)
  })

  for (const outage of ['refuse', 'hang'] as const) {
    test(`reports an outage (${outage}) and resumes after it`, async () => {
      const platform = await startPlatform()
      const reader = startReader(platform.address)
      await eventually(() => reader.client.status().behindSince === undefined)
      platform.inject({ outage })
      await eventually(() => reader.client.status().behindSince !== undefined)
      const endReadStartedAt = reader.client.status().endReadStartedAt
      publish(reader, 4, 0)
      platform.inject({ outage: 'none' })
      await eventually(() => reader.projection.read('team/a') !== undefined)
      await eventually(() => reader.client.status().behindSince === undefined)
      expect(reader.client.status().endReadStartedAt).toBeGreaterThan(endReadStartedAt ?? 0)
      expect(reader.writeOutcomes.filter(outcome => outcome.isApplied)).toHaveLength(1)
    })
  }

  test('an append during a long outage is given up after the time limit, and its outcome is reported', async () => {
    const platform = await startPlatform({ outage: 'refuse' })
    const reader = startReader(platform.address, { abandonAfterMilliseconds: 300 })
    publish(reader, 1, 0)
    await eventually(() => reader.appendOutcomes.length === 1)
    expect(reader.appendOutcomes[0]?.kind).toBe('unknown')
    expect(platform.records()).toHaveLength(0)
  })

  test('a rate limit of the log delays appends but loses none', async () => {
    const platform = await startPlatform({ maximumAppendsPerSecond: 20 })
    const reader = startReader(platform.address, { maximumAppendsPerSecond: 1_000 })
    for (let version = 0; version < 40; version += 1) publish(reader, 1, version)
    await eventually(() => reader.appendOutcomes.length === 40)
    expect(reader.appendOutcomes.every(outcome => outcome.kind === 'appended')).toBe(true)
    expect(platform.records()).toHaveLength(40)
  })

  test('a reader that missed dropped records recovers the registers from the records that are kept', async () => {
    const platform = await startPlatform()
    const author = startReader(platform.address)
    publish(author, 1, 0)
    await eventually(() => author.projection.read('team/a')?.version === 1)
    author.client.append([
      { kind: 'restatement', register: 'team/a', version: 1, value: team('a', 1), asOf: 1 }
    ])
    await eventually(() => author.projection.position() === 2)
    platform.inject({ truncateBelow: 2 })
    const lateReader = startReader(platform.address)
    await eventually(() => lateReader.projection.read('team/a') !== undefined)
    expect(lateReader.projection.read('team/a')).toEqual(author.projection.read('team/a'))
    expect(lateReader.batches.at(-1)?.firstOffset).toBe(2)
  })
})
