/** The bench's own cost: the same client against a server in the bench that answers at once. */
import { createServer } from 'node:http'
import type { AddressInfo } from 'node:net'
import { setTimeout as sleep } from 'node:timers/promises'
import { createRandom } from '@baobabpost/common'
import { type Points, pointsOf } from './figures.js'
import type { HttpClient } from './http-client.js'

const CALLS = 2_000
const MEAN_GAP_MILLISECONDS = 3

/** What the bench itself costs. */
export interface EmptyRun {
  /** Time from sending to the answer, milliseconds. */
  readonly responseMilliseconds: Points
  /** Processor time of client and server together, microseconds. */
  readonly microsecondsPerCall: number
}

/** Measures the bench's own cost. */
export async function runEmpty (client: HttpClient, seed: number): Promise<EmptyRun> {
  const server = createServer((incoming, response) => {
    incoming.resume()
    response.writeHead(200, { 'content-type': 'application/json' }).end('{"answer":{"upstream":"none"}}')
  })
  await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
  const address = `127.0.0.1:${(server.address() as AddressInfo).port}`
  const random = createRandom(seed)
  const times: number[] = []
  const before = process.cpuUsage()
  const calls: Array<Promise<void>> = []
  for (let call = 0; call < CALLS; call += 1) {
    await sleep(-Math.log(1 - random.fraction()) * MEAN_GAP_MILLISECONDS)
    const began = performance.now()
    const body = { template: 'checkout', customer: 'customer-1', input: { workMilliseconds: 100 } }
    const sent = client.send({ method: 'POST', address, path: '/v1/calls', body })
    calls.push(sent.then(() => { times.push(performance.now() - began) }))
  }
  await Promise.all(calls)
  const used = process.cpuUsage(before)
  server.close()
  return { responseMilliseconds: pointsOf(times), microsecondsPerCall: (used.user + used.system) / CALLS }
}
