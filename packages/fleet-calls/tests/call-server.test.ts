import { once } from 'node:events'
import { request, type Server } from 'node:http'
import type { AddressInfo } from 'node:net'
import { afterEach, expect, it } from 'vitest'
import { silentLogger } from '@baobabpost/common'
import { CALL_PATH, createCallServer } from '@baobabpost/fleet-calls'

let server: Server | undefined

afterEach(() => {
  server?.close()
  server?.closeAllConnections()
})

/** Makes a call, and leaves before the answer if it is told to. Resolves to whether the handler heard of a loss. */
async function callAndWatch (leaves: boolean): Promise<boolean> {
  let lost = false
  let answer: () => void = () => {}
  let noteAsked: () => void = () => {}
  const asked = new Promise<void>(resolve => { noteAsked = resolve })
  server = createCallServer({
    askConfiguration: (_parameters, connection) => new Promise(resolve => {
      connection.onLost(() => { lost = true })
      answer = () => { resolve({}) }
      noteAsked()
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
  if (leaves) outgoing.destroy()
  else answer()
  await ended
  await new Promise(resolve => { setTimeout(resolve, 100) })
  return lost
}

it('tells a handler that its caller is gone before the answer', async () => {
  expect(await callAndWatch(true)).toBe(true)
})

it('tells nothing of a connection that ends after the answer', async () => {
  expect(await callAndWatch(false)).toBe(false)
})
