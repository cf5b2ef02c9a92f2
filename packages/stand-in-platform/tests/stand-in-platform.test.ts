import { spawnSync } from 'node:child_process'
import { fileURLToPath } from 'node:url'
import { afterEach, describe, expect, test } from 'vitest'
import { createStandInPlatform, type StandInPlatform, type StandInPlatformOptions } from '@baobabpost/stand-in-platform'

const MAIN = fileURLToPath(new URL('../dist/main.js', import.meta.url))
let platform: StandInPlatform | undefined

afterEach(async () => {
  await platform?.close()
  platform = undefined
})

async function start (options: Partial<StandInPlatformOptions> = {}): Promise<string> {
  platform = await createStandInPlatform({ appendMilliseconds: 0, ...options })
  return `http://${platform.address}`
}

async function post (url: string, body: string): Promise<{ status: number, body: unknown }> {
  const response = await fetch(url, { method: 'POST', body })
  return { status: response.status, body: await response.json() }
}

async function read (base: string, query: string): Promise<unknown> {
  return await (await fetch(`${base}/records?${query}`)).json()
}

describe('the stand-in of the log', () => {
  test('gives offsets from 1 and reads from any of them', async () => {
    const base = await start()
    for (const data of ['a', 'b', 'c']) await post(`${base}/append`, JSON.stringify({ data }))
    expect(await read(base, 'from=2&limit=1')).toEqual({ first: 1, next: 4, records: [{ offset: 2, data: 'b' }] })
    expect(await read(base, 'from=4')).toEqual({ first: 1, next: 4, records: [] })
  })

  test('a read that waits is answered by the next append', async () => {
    const base = await start()
    const waiting = read(base, 'from=1&waitMilliseconds=20000')
    await post(`${base}/append`, '{"data":"a"}')
    expect(await waiting).toMatchObject({ records: [{ offset: 1, data: 'a' }] })
  })

  test('drops old records by count, and tells the oldest that it has', async () => {
    const base = await start({ maximumRecords: 2 })
    for (const data of ['a', 'b', 'c']) await post(`${base}/append`, JSON.stringify({ data }))
    expect(await read(base, 'from=1')).toMatchObject({ first: 2, next: 4, records: [{ offset: 2 }, { offset: 3 }] })
  })

  test('refuses what it does not understand and what is too large', async () => {
    const base = await start()
    expect((await post(`${base}/append`, '{"data":1}')).status).toBe(400)
    expect((await post(`${base}/append`, 'nonsense')).status).toBe(400)
    expect((await post(`${base}/append`, 'x'.repeat(1_100_000))).status).toBe(413)
    expect((await post(`${base}/fault`, '{"outage":"half"}')).status).toBe(400)
    expect((await post(`${base}/nothing`, '')).status).toBe(404)
    expect(platform?.records()).toEqual([])
  })

  test('faults are put on and off while it runs; a lost acknowledgement took effect', async () => {
    const base = await start()
    await post(`${base}/fault`, '{"loseAcknowledgements":1}')
    await expect(post(`${base}/append`, '{"data":"lost"}')).rejects.toThrow()
    await post(`${base}/fault`, '{"outage":"refuse"}')
    expect((await post(`${base}/append`, '{"data":"down"}')).status).toBe(503)
    await post(`${base}/fault`, '{"outage":"none"}')
    expect((await post(`${base}/append`, '{"data":"up"}')).status).toBe(200)
    expect(platform?.records()).toEqual(['lost', 'up'])
  })
})

test('wrong settings end the binary with exit code 2 and one line each', () => {
  const run = spawnSync(process.execPath, [MAIN, '--port', '99999', '--append-milliseconds', 'soon', '--colour', 'red'], {
    encoding: 'utf8'
  })
  expect(run.status).toBe(2)
  expect(run.stderr.trim().split('\n')).toHaveLength(3)
})
