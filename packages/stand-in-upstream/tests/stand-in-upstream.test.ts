import { request } from 'node:http'
import { afterEach, expect, test } from 'vitest'
import { createStandInUpstream, type StandInUpstream } from '@baobabpost/stand-in-upstream'

const open: StandInUpstream[] = []

async function startUpstream (slots: number): Promise<StandInUpstream> {
  const upstream = await createStandInUpstream({ name: 'one', port: 0, slots, speed: 2, defaultMilliseconds: 10 })
  open.push(upstream)
  return upstream
}

afterEach(async () => {
  for (const upstream of open.splice(0)) await upstream.close()
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

test('a task is answered with its own body and counted once; a second delivery is counted as a second start', async () => {
  const upstream = await startUpstream(2)
  const answer = await call(upstream, 'POST', '/job/0', { tool: 'drill' })
  expect(answer).toEqual({ status: 200, body: { echo: { tool: 'drill' }, upstream: 'one' } })
  await call(upstream, 'POST', '/job/0', {})
  await call(upstream, 'POST', '/job/1', {})
  expect(upstream.starts()).toEqual(new Map([['job/0', 2], ['job/1', 1]]))
  expect((await call(upstream, 'GET', '/starts')).body).toEqual({ 'job/0': 2, 'job/1': 1 })
})

test('no more tasks run at once than there are slots, and those that wait are answered too', async () => {
  const upstream = await startUpstream(2)
  let most = 0
  const watch = setInterval(() => { most = Math.max(most, upstream.runningTasks()) }, 1)
  const calls = [0, 1, 2, 3, 4].map(async index => await call(upstream, 'POST', `/job/${index}`, { workMilliseconds: 20 }))
  const answers = await Promise.all(calls)
  clearInterval(watch)
  expect(answers.map(answer => answer.status)).toEqual([200, 200, 200, 200, 200])
  expect(most).toBeLessThanOrEqual(2)
})

test('faults are set while it runs: a failing task, all failing, and dead until it is mended', async () => {
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

test('a hanging task holds its slot until its caller closes the connection', async () => {
  const upstream = await startUpstream(1)
  await upstream.setFault({ kind: 'hangs' })
  const [host, port] = upstream.address.split(':')
  const hanging = request({ host, port, method: 'POST', path: '/x', headers: { 'x-task-identity': 'x' } })
  hanging.on('error', () => {})
  hanging.end('{}')
  await expect.poll(() => upstream.runningTasks()).toBe(1)
  await upstream.setFault({ kind: 'none' })
  const next = call(upstream, 'POST', '/y', {})
  hanging.destroy()
  expect((await next).status).toBe(200)
})
