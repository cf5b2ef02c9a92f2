/**
 * An entry stands still (SIGSTOP) and wakes again. A client sends a job to it on its open connection meanwhile, waits as
 * long as X-Deadline-Milliseconds says, closes the connection, and sends the job again to another entry 1,300 ms later.
 * Without the disruption the entry doesn't stand still.
 */
import { Agent, request } from 'node:http'
import { dirname } from 'node:path'
import { fileURLToPath } from 'node:url'
import { BOUNDS, callFront, findOverlaps, HOST, idOf, pause, PREFIX, runCase } from '../stand-ins/site.mjs'

const SIDES = Number(process.env.SIDES ?? 40)
const DEADLINE_MILLISECONDS = Number(process.env.DEADLINE ?? 500)
/** Time from the second sending to the end of the standstill. */
const EXTRA_MILLISECONDS = 60
const TASKS = 24
const ROUNDS = 4

/** A client that sends one call after the other on one connection. */
function createClient (entry) {
  const agent = new Agent({ keepAlive: true, maxSockets: 1 })
  return {
    call: (method, path, deadline, body) => new Promise(resolve => {
      const outgoing = request({
        agent, host: entry.address, port: 8161, method, path: `${PREFIX}${path}`, headers: { host: HOST, 'content-type': 'application/json', 'x-deadline-milliseconds': String(deadline) }
      }, incoming => {
        const chunks = []
        incoming.on('data', chunk => { chunks.push(chunk) })
        incoming.on('end', () => {
          clearTimeout(timer)
          resolve({ status: incoming.statusCode, body: Buffer.concat(chunks).toString() })
        })
      })
      const timer = setTimeout(() => { outgoing.destroy(new Error('no answer within the deadline')) }, deadline)
      outgoing.on('error', failure => { resolve({ status: 0, body: failure.message }) })
      outgoing.end(body === undefined ? undefined : JSON.stringify(body))
    }),
    close: () => { agent.destroy() }
  }
}

/** `TROUBLE=0` plays the case without its disruption. */
const isDisrupted = process.env.TROUBLE !== '0'

await runCase(dirname(fileURLToPath(import.meta.url)), isDisrupted, async ({ record, start }) => {
  const site = await start({ fronts: 2, sides: SIDES })
  await site.waitUntilReady()
  const [first, second] = site.entries
  const body = {
    specification: JSON.stringify({ ms: 450 }),
    steps: [{ count: TASKS, cpu: 8_000, requested_memory_mb: 64, estimated_ms: 450 }],
    best_effort: true
  }
  for (let round = 1; round <= ROUNDS; round += 1) {
    // Entries without work wait for agents for up to 4 s.
    await pause(5_000)
    const id = idOf(0x3c0e7a00 + round)
    const client = createClient(first)
    const opened = await client.call('GET', '', 5_000)
    record(`client: GET ${PREFIX} on ${first.name} answered ${opened.status} ${opened.body}`)
    if (isDisrupted) {
      record(`${first.name} stands still`)
      first.signal('SIGSTOP')
      await pause(30)
    }
    record(`client: POST ${id} to ${first.name}`)
    const deadline = isDisrupted ? DEADLINE_MILLISECONDS : 20_000
    const answer = await client.call('POST', id, deadline, body)
    record(`client: POST ${id} answered ${answer.status} ${answer.body}`)
    if (answer.status === 0) {
      await pause(BOUNDS.resend_ms)
      record(`client: POST ${id} to ${second.name}, sent again`)
      const again = callFront(second, 'POST', id, { body, deadline: 20_000 })
      if (isDisrupted) {
        await pause(EXTRA_MILLISECONDS)
        record(`${first.name} goes on`)
        first.signal('SIGCONT')
      }
      const { status, body: text } = await again
      record(`client: POST ${id} answered ${status} ${text}`)
    }
    client.close()
  }
  return findOverlaps(site.executors)
})
