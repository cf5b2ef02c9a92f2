/** Measures the cost of the bench itself: its client against a server in the same process that answers immediately. */
import { createServer } from 'node:http'
import type { AddressInfo } from 'node:net'
import { setTimeout as sleep } from 'node:timers/promises'
import { createRandom } from '@baobabpost/common'
import { type Percentiles, calculatePercentiles } from './figures.js'
import type { HttpClient } from './http-client.js'

const CALL_COUNT = 2_000
const MEAN_GAP_MILLISECONDS = 3

/** Cost of the bench itself; the field names are keys of the JSON file. */
export interface EmptyRun {
  /** Time from sending a call to its answer, in milliseconds. */
  readonly responseMilliseconds: Percentiles
  /** Processor time of client and server together, in microseconds. */
  readonly microsecondsPerCall: number
}

export async function measureEmptyRun (client: HttpClient, seed: number): Promise<EmptyRun> {
  const server = createServer((incoming, response) => {
    incoming.resume()
    response.writeHead(200, { 'content-type': 'application/json' }).end('{"answer":{"upstream":"none"}}')
  })
  await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
  const address = `127.0.0.1:${(server.address() as AddressInfo).port}`
  const random = createRandom(seed)
  const times: number[] = []
  const usageBefore = process.cpuUsage()
  const calls: Array<Promise<void>> = []
  for (let call = 0; call < CALL_COUNT; call += 1) {
    await sleep(-Math.log(1 - random.fraction()) * MEAN_GAP_MILLISECONDS)
    const startedAt = performance.now()
    const body = { template: 'checkout', customer: 'customer-1', input: { workMilliseconds: 100 } }
    const sent = client.send({ method: 'POST', address, path: '/v1/calls', body })
    calls.push(sent.then(() => { times.push(performance.now() - startedAt) }))
  }
  await Promise.all(calls)
  const usage = process.cpuUsage(usageBefore)
  server.close()
  return {
    responseMilliseconds: calculatePercentiles(times),
    microsecondsPerCall: (usage.user + usage.system) / CALL_COUNT
  }
}
