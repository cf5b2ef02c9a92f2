import { createServer } from 'node:http'
import type { AddressInfo } from 'node:net'
import { expect, test } from 'vitest'
import type { TaskResult } from '@baobabpost/execution'
import { createUpstreamClient } from '../src/upstream-client.js'

// The report of such an answer could not be formatted, which ended the agent with all of its tasks.
test('an answer of the upstream that is nested too deeply to be passed on is a failure', async () => {
  const bodies = ['['.repeat(30_000) + ']'.repeat(30_000), '[[["drill"]]]']
  const server = createServer((incoming, outgoing) => {
    incoming.resume()
    outgoing.end(bodies.shift())
  })
  await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
  const results: TaskResult[] = []
  const client = createUpstreamClient({
    address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
    connections: 1,
    idleMilliseconds: 1_000,
    onResult: (_submission, _index, result) => { results.push(result) },
    onReachable: () => {}
  })
  for (const index of [0, 1]) client.startTask({ submission: 's', index, path: '/', parameters: {}, input: {} })
  await expect.poll(() => results.length).toBe(2)
  expect(results).toEqual([
    { kind: 'failed', detail: 'The answer has too many levels' }, { kind: 'succeeded', answer: [[['drill']]], answerBytes: 13 }
  ])
  client.close()
  server.close()
  server.closeAllConnections()
})
