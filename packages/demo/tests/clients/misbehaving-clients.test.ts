/** Crowds of clients that the system does not control, at the servers of the entry and of the agent. */
import { afterEach, beforeEach, describe, expect, test } from 'vitest'
import { callerSecret, publishSampleConfigurationThrough, send } from '@baobabpost/demo'
import { formatChunkedRequest, formatHead, openCrowd, watchProcess, type ClientBehaviour } from '@baobabpost/rehearsal'
import { startProcessFleet, type ProcessFleet } from '../process-fleet.js'
import { createSubmissionKey, createTasks } from '../small-fleet.js'

/** Defaults of the settings `memory-limit-megabytes` and `descriptor-limit`. */
const LIMITS = { memoryMegabytes: 350, descriptors: 4_100 }
const BYTES_PER_MEGABYTE = 1_048_576
/** Time for which a crowd holds its connections before an ordinary job is sent beside it. */
const HOLD_MILLISECONDS = 5_000
const LINK_HEADERS = {
  'x-baobabpost-identity': 'entry-9',
  'x-baobabpost-address': '127.0.0.1:7001',
  'x-baobabpost-signature': '0'.repeat(64)
}

let fleet: ProcessFleet

beforeEach(async () => {
  fleet = await startProcessFleet(1, [1])
  await publishSampleConfigurationThrough(fleet.entries[0]!.url)
}, 60_000)
afterEach(async () => { await fleet.close() })

/** Submits an ordinary job until it is complete, as a caller does whose job was refused or whose connection broke. */
async function completeJob (): Promise<void> {
  for (;;) {
    const answer = await send({
      method: 'PUT',
      url: fleet.entries[0]!.url,
      path: `/v1/submissions/${createSubmissionKey()}?waitMilliseconds=2000`,
      secret: callerSecret('medina'),
      body: { template: 'reserve-tool', customer: 'medina', tasks: createTasks(1, 10) }
    }).catch(() => undefined)
    if ((answer?.body as { state?: string } | undefined)?.state === 'complete') return
    await new Promise(resolve => setTimeout(resolve, 500))
  }
}

const callers = (): string => fleet.entries[0]!.url.slice('http://'.length)
const entryLink = (): string => `${callers().split(':')[0]}:7001`
const entryProcess = (): number => fleet.entries[0]!.child.pid!

describe('the entry outlives a crowd within its memory and descriptors, and a job is completed beside it', () => {
  test.each<[string, () => string, number, ClientBehaviour]>([
    ['callers that stop short after chunks of one byte', callers, 60, {
      opening: formatChunkedRequest('/livez', { host: 'x' }, 1, 60_000).replace('POST', 'GET')
    }],
    ['callers whose heads do not end', callers, 4_300, { opening: 'GET /livez HTTP/1.1\r\n' }],
    ['callers that read no answers', callers, 200, {
      opening: formatHead('GET', '/livez', { host: 'x' }).repeat(20_000), reads: false
    }],
    ['link batches that stop short after chunks of one byte', entryLink, 60, {
      opening: formatChunkedRequest('/link', { host: 'x', ...LINK_HEADERS }, 1, 60_000)
    }],
    ['link batches whose heads do not end', entryLink, 4_300, { opening: 'POST /link HTTP/1.1\r\n' }]
  ])('%s', { timeout: 60_000 }, async (_name, address, count, behaviour) => {
    const stopWatch = watchProcess(entryProcess())
    const crowd = await openCrowd(address(), count, behaviour)
    await new Promise(resolve => setTimeout(resolve, HOLD_MILLISECONDS))
    const { exitCode, signalCode } = fleet.entries[0]!.child
    if (exitCode === null && signalCode === null) await completeJob()
    crowd.close()
    const usage = stopWatch()
    expect(usage.isAlive, 'the process lives').toBe(true)
    expect(usage.peakMemoryBytes / BYTES_PER_MEGABYTE).toBeLessThan(LIMITS.memoryMegabytes)
    expect(usage.peakDescriptors).toBeLessThanOrEqual(LIMITS.descriptors)
  })
})
