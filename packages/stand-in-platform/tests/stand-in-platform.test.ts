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

async function read (baseUrl: string, query: string): Promise<unknown> {
  return await (await fetch(`${baseUrl}/records?${query}`)).json()
}

describe("the stand-in for the platform's log", () => {
  test('assigns offsets from 1 and reads from any offset', async () => {
    const baseUrl = await start()
    for (const data of ['a', 'b', 'c']) await post(`${baseUrl}/append`, JSON.stringify({ data }))
    expect(await read(baseUrl, 'from=2&limit=1')).toEqual({ first: 1, next: 4, records: [{ offset: 2, data: 'b' }] })
    expect(await read(baseUrl, 'from=4')).toEqual({ first: 1, next: 4, records: [] })
  })

  test('a read that waits is answered by the next append', async () => {
    const baseUrl = await start()
    const pendingRead = read(baseUrl, 'from=1&waitMilliseconds=20000')
    await post(`${baseUrl}/append`, '{"data":"a"}')
    expect(await pendingRead).toMatchObject({ records: [{ offset: 1, data: 'a' }] })
  })

  test('drops the oldest records beyond the maximum count and returns the first retained offset', async () => {
    const baseUrl = await start({ maximumRecords: 2 })
    for (const data of ['a', 'b', 'c']) await post(`${baseUrl}/append`, JSON.stringify({ data }))
    expect(await read(baseUrl, 'from=1')).toMatchObject({ first: 2, next: 4, records: [{ offset: 2 }, { offset: 3 }] })
  })

  test('rejects malformed and oversized requests without appending a record', async () => {
    const baseUrl = await start()
    expect((await post(`${baseUrl}/append`, '{"data":1}')).status).toBe(400)
    expect((await post(`${baseUrl}/append`, 'nonsense')).status).toBe(400)
    expect((await post(`${baseUrl}/append`, 'x'.repeat(1_100_000))).status).toBe(413)
    expect((await post(`${baseUrl}/fault`, '{"outage":"half"}')).status).toBe(400)
    expect((await post(`${baseUrl}/nothing`, '')).status).toBe(404)
    expect(platform?.records()).toEqual([])
  })

  test('faults change at run time; an append whose acknowledgement is lost takes effect', async () => {
    const baseUrl = await start()
    await post(`${baseUrl}/fault`, '{"loseAcknowledgements":1}')
    await expect(post(`${baseUrl}/append`, '{"data":"lost"}')).rejects.toThrow()
    await post(`${baseUrl}/fault`, '{"outage":"refuse"}')
    expect((await post(`${baseUrl}/append`, '{"data":"down"}')).status).toBe(503)
    await post(`${baseUrl}/fault`, '{"outage":"none"}')
    expect((await post(`${baseUrl}/append`, '{"data":"up"}')).status).toBe(200)
    expect(platform?.records()).toEqual(['lost', 'up'])
  })
})

test('invalid settings end the binary with exit code 2 and one error line per setting', () => {
  const run = spawnSync(process.execPath, [MAIN, '--port', '99999', '--append-milliseconds', 'soon', '--colour', 'red'], {
    encoding: 'utf8'
  })
  expect(run.status).toBe(2)
  expect(run.stderr.trim().split('\n')).toHaveLength(3)
})
