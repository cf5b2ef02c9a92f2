import { once } from 'node:events'
import { request, type IncomingMessage, type Server } from 'node:http'
import type { AddressInfo } from 'node:net'
import { afterEach, expect, it } from 'vitest'
import { silentLogger } from '@baobabpost/common'
import { CALL_PATH, createCallServer } from '@baobabpost/fleet-calls'

let server: Server | undefined

afterEach(() => {
  server?.close()
  server?.closeAllConnections()
})

/** Makes a call, optionally disconnecting before the answer. Resolves to whether the handler was notified of a loss. */
async function callAndObserveLoss (disconnectsEarly: boolean): Promise<boolean> {
  let wasLossReported = false
  let answer: () => void = () => {}
  let markAsked: () => void = () => {}
  const asked = new Promise<void>(resolve => { markAsked = resolve })
  server = createCallServer({
    askConfiguration: (_parameters, connection) => new Promise(resolve => {
      connection.onLost(() => { wasLossReported = true })
      answer = () => { resolve({}) }
      markAsked()
    })
  }, silentLogger)
  server.listen(0, '127.0.0.1')
  await once(server, 'listening')
  const { port } = server.address() as AddressInfo
  const outgoing = request({ host: '127.0.0.1', port, method: 'POST', path: CALL_PATH })
  const ended = new Promise<void>(resolve => {
    outgoing.on('error', () => { resolve() })
    outgoing.on('response', incoming => { incoming.resume().on('end', () => { resolve() }) })
  })
  outgoing.end(JSON.stringify({ jsonrpc: '2.0', id: 1, method: 'askConfiguration', params: {} }))
  await asked
  if (disconnectsEarly) outgoing.destroy()
  else answer()
  await ended
  await new Promise(resolve => { setTimeout(resolve, 100) })
  return wasLossReported
}

it('notifies a handler when the connection closes before the answer', async () => {
  expect(await callAndObserveLoss(true)).toBe(true)
})

it('does not notify a handler when the connection closes after the answer', async () => {
  expect(await callAndObserveLoss(false)).toBe(false)
})

async function postBody (body: string): Promise<number | undefined> {
  server = createCallServer({}, silentLogger)
  server.listen(0, '127.0.0.1')
  await once(server, 'listening')
  const { port } = server.address() as AddressInfo
  const outgoing = request({ host: '127.0.0.1', port, method: 'POST', path: CALL_PATH })
  outgoing.on('error', () => {})
  outgoing.end(body)
  const [incoming] = await once(outgoing, 'response') as [IncomingMessage]
  incoming.resume()
  return incoming.statusCode
}

// They were answered as a fault of the server.
it.each(['', 'null', '7', '{"jsonrpc":'])('refuses the body %j, which is no request', async body => {
  expect(await postBody(body)).toBe(400)
})

// Characters of several bytes were counted as one or two, so that a body of three times the limit was accepted.
it('refuses a body by its bytes', async () => {
  expect(await postBody('\u20ac'.repeat(400_000))).toBe(413)
})
