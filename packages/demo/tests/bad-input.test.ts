import { connect } from 'node:net'
import fc from 'fast-check'
import { afterAll, beforeAll, describe, expect, test } from 'vitest'
import { ERROR_KINDS } from '@baobabpost/common'
import { callerSecret, send, type CallerAnswer, type Fleet } from '@baobabpost/demo'
import { MAXIMUM_BODY_BYTES } from '@baobabpost/messages'
import {
  countInvariantViolations, countStarts, createSubmissionKey, createTasks, startSmallFleet, submit
} from './small-fleet.js'

let fleet: Fleet

beforeAll(async () => { fleet = await startSmallFleet() })
afterAll(async () => { await fleet.stop() })

function put (path: string, body: unknown): Promise<CallerAnswer> {
  return send({ method: 'PUT', url: fleet.entries[0]!.url, path, secret: callerSecret('medina'), body })
}

/** Writes raw text to an entry's port and returns everything received until the connection closes. */
function writeRaw (text: string): Promise<string> {
  const { hostname, port } = new URL(fleet.entries[0]!.url)
  return new Promise((resolve, reject) => {
    const socket = connect(Number(port), hostname, () => { socket.write(text) })
    let received = ''
    socket.on('data', chunk => { received += chunk.toString() })
    socket.on('error', reject)
    socket.on('close', () => { resolve(received) })
  })
}

describe('bad input', () => {
  test.each([
    ['no tasks', { template: 'reserve-tool', customer: 'medina', tasks: [] }, 400, 'malformed-request'],
    ['2,001 tasks', { template: 'reserve-tool', customer: 'medina', tasks: createTasks(2_001, 1) }, 400, 'malformed-request'],
    ['a task of the wrong type', { template: 'reserve-tool', customer: 'medina', tasks: [7] }, 400, 'malformed-request'],
    ['an unknown property', { template: 'reserve-tool', customer: 'medina', tasks: [{}], x: 1 }, 400, 'malformed-request'],
    ['a large task', { template: 'reserve-tool', customer: 'medina', tasks: [{ tool: 'x'.repeat(20_000) }] }, 413, 'too-large'],
    ['an unknown template', { template: 'nothing', customer: 'medina', tasks: [{}] }, 422, 'not-run-invalid'],
    ['an unknown parameter', { template: 'reserve-tool', customer: 'medina', tasks: [{ tool: 'a', member: 'b', z: 1 }] }, 422, 'not-run-invalid'],
    ['a missing parameter', { template: 'reserve-tool', customer: 'medina', tasks: [{ tool: 'a' }] }, 422, 'not-run-invalid'],
    ['another customer', { template: 'reserve-tool', customer: 'yoff', tasks: [{}] }, 403, 'forbidden']
  ])('%s gets a documented error kind and starts no task', async (_name, body, status, kind) => {
    const before = countStarts(fleet).size
    expect(await put(`/v1/submissions/${createSubmissionKey()}`, body)).toMatchObject({ status, body: { kind, ran: 'no' } })
    expect(countStarts(fleet).size).toBe(before)
  })

  test('rejects a submission key that is not a UUID of version 7, lies in the future or has expired', async () => {
    expect(await put('/v1/submissions/abc', {})).toMatchObject({ status: 400 })
    const future = createSubmissionKey(Date.now() + 60_000)
    expect(await submit(fleet.entries[0]!, future, createTasks(1, 1))).toMatchObject({ body: { kind: 'malformed-request' } })
    const past = createSubmissionKey(Date.now() - 3_600_000)
    expect(await submit(fleet.entries[0]!, past, createTasks(1, 1))).toMatchObject({ body: { kind: 'key-expired' } })
    expect([...countStarts(fleet).keys()].filter(task => task.startsWith(future) || task.startsWith(past))).toEqual([])
  })

  test('rejects an unknown route, malformed JSON and a body over the size limit', async () => {
    expect(await put('/v2/nothing', {})).toMatchObject({ status: 404, body: { kind: 'unknown-route' } })
    const path = `/v1/submissions/${createSubmissionKey()}`
    const head = `PUT ${path} HTTP/1.1\r\nhost: x\r\nauthorization: Bearer ${callerSecret('medina')}\r\nconnection: close\r\n`
    expect(await writeRaw(`${head}content-length: 5\r\n\r\n{"a":`)).toContain('malformed-request')
    expect(await writeRaw(`${head}content-length: ${MAXIMUM_BODY_BYTES + 1}\r\n\r\n`)).toContain('too-large')
    expect(await writeRaw('nonsense\r\n\r\n')).toContain('malformed-request')
  })

  test('a slow request body times out in bounded time, and other clients are served meanwhile', async () => {
    const head = `PUT /v1/submissions/${createSubmissionKey()} HTTP/1.1\r\nhost: x\r\nconnection: close\r\n`
    const slowResponse = writeRaw(`${head}authorization: Bearer ${callerSecret('medina')}\r\ncontent-length: 50\r\n\r\n{`)
    expect(await submit(fleet.entries[0]!, createSubmissionKey(), createTasks(2, 5))).toMatchObject({ status: 200 })
    expect(await slowResponse).toContain('request-timeout')
  })

  test('any JSON value as a body gets a documented error kind other than internal', async () => {
    await fc.assert(fc.asyncProperty(fc.jsonValue(), async body => {
      const answer = await put(`/v1/submissions/${createSubmissionKey()}`, body)
      expect(answer.status).toBeGreaterThanOrEqual(400)
      expect(ERROR_KINDS).toContain((answer.body as { kind: string }).kind)
      expect((answer.body as { kind: string }).kind).not.toBe('internal')
    }), { numRuns: 100, seed: 7 })
  })

  test('the entry still serves jobs, and no invariant is violated', async () => {
    expect(await submit(fleet.entries[0]!, createSubmissionKey(), createTasks(2, 5))).toMatchObject({ status: 200 })
    expect(countInvariantViolations(fleet)).toBe(0)
  })
})
