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
  readonly fold: RegisterProjection
  readonly batches: LogBatch[]
  readonly appended: AppendOutcome[]
  readonly outcomes: WriteOutcome[]
}

const closers: Array<() => Promise<void> | void> = []

afterEach(async () => {
  for (const close of closers.splice(0).reverse()) await close()
})

async function startPlatform (options: Partial<StandInPlatformOptions> = {}): Promise<StandInPlatform> {
  const platform = await createStandInPlatform(options)
  closers.push(async () => { await platform.close() })
  return platform
}

function startReader (address: string, options: Partial<PlatformLogClientOptions> = {}): Reader {
  const batches: LogBatch[] = []
  const appended: AppendOutcome[] = []
  const outcomes: WriteOutcome[] = []
  const fold = createRegisterProjection({
    retentionMilliseconds: 60_000,
    invariants: createInvariants((name, detail) => { throw new Error(`${name}: ${detail}`) }),
    onBadRecord: () => {},
    onOutcomes: told => { outcomes.push(...told) }
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
        fold.apply(batch, Date.now())
      },
      onAppendOutcome: outcome => { appended.push(outcome) }
    },
    ...options
  })
  client.start()
  closers.push(() => { client.close() })
  return { client, fold, batches, appended, outcomes }
}

async function eventually (condition: () => boolean): Promise<void> {
  await vi.waitUntil(condition, { timeout: 20_000, interval: 5 })
}

function publish (reader: Reader, share: number, replaces: number): string {
  return reader.client.append([{ kind: 'write', register: 'team/a', replaces, value: team('a', share) }])
}

describe('the client of the log, over sockets', () => {
  test('brings what one process appends to another', async () => {
    const platform = await startPlatform()
    const [author, reader] = [startReader(platform.address), startReader(platform.address)]
    publish(author, 2, 0)
    await eventually(() => reader.fold.read('team/a') !== undefined && author.outcomes.length === 1)
    expect(reader.fold.read('team/a')).toEqual({ register: 'team/a', version: 1, value: team('a', 2) })
    await eventually(() => author.appended.length === 1)
  })

  test('a lost acknowledgement is settled by reading back: the record is on the log once', async () => {
    const platform = await startPlatform()
    const reader = startReader(platform.address)
    platform.inject({ loseAcknowledgements: 3 })
    const nonces = [publish(reader, 1, 0), publish(reader, 2, 1), publish(reader, 3, 2)]
    await eventually(() => reader.appended.length === 3)
    expect(reader.appended.map(outcome => [outcome.kind, outcome.nonce]).sort())
      .toEqual(nonces.map(nonce => ['appended', nonce]).sort())
    expect(platform.records()).toHaveLength(3)
  })

  test('an append that was cut before it took effect is sent again', async () => {
    const platform = await startPlatform()
    const reader = startReader(platform.address)
    platform.inject({ loseAppends: 2 })
    publish(reader, 1, 0)
    await eventually(() => reader.outcomes.length === 1)
    expect(platform.records()).toHaveLength(1)
    expect(reader.outcomes[0]?.isApplied).toBe(true)
  })

  test('a slow append that took effect after its time is on the log once', async () => {
    const platform = await startPlatform({ appendMilliseconds: 300 })
    const reader = startReader(platform.address, { answerMilliseconds: 100, abandonAfterMilliseconds: 60_000 })
    publish(reader, 1, 0)
    await eventually(() => reader.appended.length === 1)
    expect(reader.fold.read('team/a')?.version).toBe(1)
    expect(reader.outcomes.filter(outcome => outcome.isApplied)).toHaveLength(1)
  })

  for (const outage of ['refuse', 'hang'] as const) {
    test(`tells an outage (${outage}) and goes on after it`, async () => {
      const platform = await startPlatform()
      const reader = startReader(platform.address)
      await eventually(() => reader.client.status().behindSince === undefined)
      platform.inject({ outage })
      await eventually(() => reader.client.status().behindSince !== undefined)
      const endReadStartedAt = reader.client.status().endReadStartedAt
      publish(reader, 4, 0)
      platform.inject({ outage: 'none' })
      await eventually(() => reader.fold.read('team/a') !== undefined)
      await eventually(() => reader.client.status().behindSince === undefined)
      expect(reader.client.status().endReadStartedAt).toBeGreaterThan(endReadStartedAt ?? 0)
      expect(reader.outcomes.filter(outcome => outcome.isApplied)).toHaveLength(1)
    })
  }

  test('an append during an outage that lasts is given up and told', async () => {
    const platform = await startPlatform({ outage: 'refuse' })
    const reader = startReader(platform.address, { abandonAfterMilliseconds: 300 })
    publish(reader, 1, 0)
    await eventually(() => reader.appended.length === 1)
    expect(reader.appended[0]?.kind).toBe('unknown')
    expect(platform.records()).toHaveLength(0)
  })

  test('a limit of appends a second delays and loses nothing', async () => {
    const platform = await startPlatform({ maximumAppendsPerSecond: 20 })
    const reader = startReader(platform.address, { maximumAppendsPerSecond: 1_000 })
    for (let version = 0; version < 40; version += 1) publish(reader, 1, version)
    await eventually(() => reader.appended.length === 40)
    expect(reader.appended.every(outcome => outcome.kind === 'appended')).toBe(true)
    expect(platform.records()).toHaveLength(40)
  })

  test('records that were dropped before they were read lead to a recovery from what is kept', async () => {
    const platform = await startPlatform()
    const author = startReader(platform.address)
    publish(author, 1, 0)
    await eventually(() => author.fold.read('team/a')?.version === 1)
    author.client.append([
      { kind: 'restatement', register: 'team/a', version: 1, value: team('a', 1), asOf: 1 }
    ])
    await eventually(() => author.fold.position() === 2)
    platform.inject({ truncateBelow: 2 })
    const late = startReader(platform.address)
    await eventually(() => late.fold.read('team/a') !== undefined)
    expect(late.fold.read('team/a')).toEqual(author.fold.read('team/a'))
    expect(late.batches.at(-1)?.firstOffset).toBe(2)
  })
})
