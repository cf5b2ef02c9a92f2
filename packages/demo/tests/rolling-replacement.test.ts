import { afterAll, beforeAll, describe, expect, test } from 'vitest'
import { callerSecret, send, type CallerAnswer, type Fleet } from '@baobabpost/demo'
import type { RunningEntry } from '@baobabpost/entry'
import type { SubmissionAnswer } from '@baobabpost/messages'
import { countStarts, createSubmissionKey, createTasks, startSmallFleet, submit, violations } from './small-fleet.js'

let fleet: Fleet

beforeAll(async () => { fleet = await startSmallFleet() })
afterAll(async () => { await fleet.stop() })

/** The platform's balancer: sends callers to entries that say they are ready. */
function createBalancer (): () => RunningEntry {
  let turn = 0
  return () => {
    const ready = fleet.entries.filter(entry => entry.core.state() === 'ready')
    turn += 1
    return ready[turn % ready.length]!
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

describe('a rolling replacement of every process under load', () => {
  test('fails no call, loses no job, starts nothing twice', async () => {
    const balance = createBalancer()
    const load = { isOn: true }
    const answers: CallerAnswer[] = []

    async function callOn (caller: number): Promise<void> {
      for (let count = 0; load.isOn; count += 1) answers.push(await call(balance(), `tool-${caller}-${count}`))
    }

    async function submitOn (): Promise<void> {
      while (load.isOn) answers.push(await submit(balance(), createSubmissionKey(), createTasks(40, 50)))
    }

    const callers = [...[1, 2, 3, 4].map(callOn), submitOn(), submitOn()]
    for (const entry of [...fleet.entries]) {
      await fleet.addEntry(entry.core.settings.failureDomain)
      await fleet.stopEntry(entry)
    }
    for (const upstream of [...fleet.upstreams]) {
      await fleet.addAgent(upstream)
      await fleet.stopAgent(upstream)
    }
    load.isOn = false
    await Promise.all(callers)

    expect(answers.length).toBeGreaterThan(50)
    expect(answers.filter(answer => answer.status !== 200)).toEqual([])
    const jobs = answers.map(answer => answer.body as Partial<SubmissionAnswer>).filter(body => 'state' in body)
    const unlike = jobs.flatMap(job => job.tasks ?? []).filter(task => task.status !== 'succeeded')
    expect(unlike).toEqual([])
    expect(jobs.every(job => job.state === 'complete')).toBe(true)
    expect([...countStarts(fleet).values()].filter(count => count > 1)).toEqual([])
    expect(violations(fleet)).toBe(0)
  }, 120_000)
})
