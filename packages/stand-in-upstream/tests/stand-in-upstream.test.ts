import { request } from 'node:http'
import { afterEach, expect, test } from 'vitest'
import { createStandInUpstream, type StandInUpstream } from '@baobabpost/stand-in-upstream'

const startedUpstreams: StandInUpstream[] = []

async function startUpstream (slots: number): Promise<StandInUpstream> {
  const upstream = await createStandInUpstream({ name: 'one', port: 0, slots, speed: 2, defaultMilliseconds: 10 })
  startedUpstreams.push(upstream)
  return upstream
}

afterEach(async () => {
  for (const upstream of startedUpstreams.splice(0)) await upstream.close()
})

interface Answer { readonly status: number, readonly body: unknown }

async function call (upstream: StandInUpstream, method: string, path: string, body?: unknown): Promise<Answer> {
  const [host, port] = upstream.address.split(':')
  return await new Promise((resolve, reject) => {
    const headers = { 'x-task-identity': path.slice(1), connection: 'close' }
    const outgoing = request({ host, port, method, path, headers }, response => {
      let text = ''
      response.on('data', (chunk: Buffer) => { text += chunk.toString() })
      response.on('end', () => { resolve({ status: response.statusCode ?? 0, body: JSON.parse(text) as unknown }) })
    })
    outgoing.on('error', reject)
    outgoing.end(body === undefined ? undefined : JSON.stringify(body))
  })
}

test('answers a task with its own body and counts each delivery as one start', async () => {
  const upstream = await startUpstream(2)
  const answer = await call(upstream, 'POST', '/job/0', { tool: 'drill' })
  expect(answer).toEqual({ status: 200, body: { echo: { tool: 'drill' }, upstream: 'one' } })
  await call(upstream, 'POST', '/job/0', {})
  await call(upstream, 'POST', '/job/1', {})
  expect(upstream.starts()).toEqual(new Map([['job/0', 2], ['job/1', 1]]))
  expect((await call(upstream, 'GET', '/starts')).body).toEqual({ 'job/0': 2, 'job/1': 1 })
})

test('runs at most as many tasks concurrently as it has slots, and answers queued tasks too', async () => {
  const upstream = await startUpstream(2)
  let maximumRunning = 0
  const samplingTimer = setInterval(() => { maximumRunning = Math.max(maximumRunning, upstream.runningTasks()) }, 1)
  const calls = [0, 1, 2, 3, 4].map(async index => await call(upstream, 'POST', `/job/${index}`, { workMilliseconds: 20 }))
  const answers = await Promise.all(calls)
  clearInterval(samplingTimer)
  expect(answers.map(answer => answer.status)).toEqual([200, 200, 200, 200, 200])
  expect(maximumRunning).toBeLessThanOrEqual(2)
})

test('fails one task, fails all tasks, and refuses connections until the fault is removed', async () => {
  const upstream = await startUpstream(2)
  expect((await call(upstream, 'POST', '/a', { fail: true })).status).toBe(500)
  expect((await call(upstream, 'POST', '/fault', { kind: 'fails-all' })).status).toBe(200)
  expect((await call(upstream, 'POST', '/b', {})).status).toBe(500)
  expect((await call(upstream, 'POST', '/fault', { kind: 'unheard-of' })).status).toBe(400)
  await upstream.setFault({ kind: 'dies' })
  await expect(call(upstream, 'POST', '/c', {})).rejects.toMatchObject({ code: 'ECONNREFUSED' })
  await upstream.setFault({ kind: 'none' })
  expect((await call(upstream, 'POST', '/d', {})).status).toBe(200)
  expect(upstream.starts().has('c')).toBe(false)
})

test('a hanging task occupies its slot until its caller closes the connection', async () => {
  const upstream = await startUpstream(1)
  await upstream.setFault({ kind: 'hangs' })
  const [host, port] = upstream.address.split(':')
  const hangingRequest = request({ host, port, method: 'POST', path: '/x', headers: { 'x-task-identity': 'x' } })
  hangingRequest.on('error', () => {})
  hangingRequest.end('{}')
  await expect.poll(() => upstream.runningTasks()).toBe(1)
  await upstream.setFault({ kind: 'none' })
  const nextResponse = call(upstream, 'POST', '/y', {})
  hangingRequest.destroy()
  expect((await nextResponse).status).toBe(200)
})
