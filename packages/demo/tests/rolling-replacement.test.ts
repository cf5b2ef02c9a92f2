import { afterAll, beforeAll, describe, expect, test } from 'vitest'
import { callerSecret, send, type CallerAnswer, type Fleet } from '@baobabpost/demo'
import type { RunningEntry } from '@baobabpost/entry'
import type { SubmissionAnswer } from '@baobabpost/messages'
import {
  countInvariantViolations, countStarts, createSubmissionKey, createTasks, startSmallFleet, submit
} from './small-fleet.js'

let fleet: Fleet

beforeAll(async () => { fleet = await startSmallFleet() })
afterAll(async () => { await fleet.stop() })

/** Stands in for the platform's load balancer: returns the ready entries in turn. */
function createLoadBalancer (): () => RunningEntry {
  let requestCount = 0
  return () => {
    const ready = fleet.entries.filter(entry => entry.core.state() === 'ready')
    requestCount += 1
    return ready[requestCount % ready.length]!
  }
}

function call (entry: RunningEntry, tool: string): Promise<CallerAnswer> {
  return send({
    method: 'POST',
    url: entry.url,
    path: '/v1/calls',
    secret: callerSecret('medina'),
    body: { template: 'checkout-tool', customer: 'medina', input: { tool, member: 'awa', workMilliseconds: 30 } }
  })
}

describe('rolling replacement of every entry and agent under load', () => {
  test('fails no call, loses no job and starts no task twice', async () => {
    const nextEntry = createLoadBalancer()
    const load = { isOn: true }
    const answers: CallerAnswer[] = []

    async function sendCalls (caller: number): Promise<void> {
      for (let count = 0; load.isOn; count += 1) answers.push(await call(nextEntry(), `tool-${caller}-${count}`))
    }

    async function submitJobs (): Promise<void> {
      while (load.isOn) answers.push(await submit(nextEntry(), createSubmissionKey(), createTasks(40, 50)))
    }

    const clients = [...[1, 2, 3, 4].map(sendCalls), submitJobs(), submitJobs()]
    for (const entry of [...fleet.entries]) {
      await fleet.addEntry(entry.core.settings.failureDomain)
      await fleet.stopEntry(entry)
    }
    for (const upstream of [...fleet.upstreams]) {
      await fleet.addAgent(upstream)
      await fleet.stopAgent(upstream)
    }
    load.isOn = false
    await Promise.all(clients)

    expect(answers.length).toBeGreaterThan(50)
    expect(answers.filter(answer => answer.status !== 200)).toEqual([])
    const jobs = answers.map(answer => answer.body as Partial<SubmissionAnswer>).filter(body => 'state' in body)
    const unsuccessfulTasks = jobs.flatMap(job => job.tasks ?? []).filter(task => task.status !== 'succeeded')
    expect(unsuccessfulTasks).toEqual([])
    expect(jobs.every(job => job.state === 'complete')).toBe(true)
    expect([...countStarts(fleet).values()].filter(count => count > 1)).toEqual([])
    expect(countInvariantViolations(fleet)).toBe(0)
  }, 120_000)
})
