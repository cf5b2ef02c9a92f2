import { afterAll, beforeAll, describe, expect, test } from 'vitest'
import { callerSecret, send, type Fleet } from '@baobabpost/demo'
import type { SubmissionAnswer } from '@baobabpost/messages'
import { countStarts, createSubmissionKey, createTasks, startSmallFleet, submit, violations } from './small-fleet.js'

interface Echo { echo: { tool: string } }

let fleet: Fleet

beforeAll(async () => { fleet = await startSmallFleet() })
afterAll(async () => { await fleet.stop() })

describe('the whole path over sockets', () => {
  test('a job submitted through one entry gets its whole answer, in order, through another', async () => {
    const [first, second] = fleet.entries
    const submission = createSubmissionKey()
    const tasks = createTasks(120, 20)
    const early = await submit(first!, submission, tasks, 0)
    expect(early.status).toBe(202)
    expect(early.body).not.toHaveProperty('tasks')
    const answer = await submit(second!, submission, tasks)
    const body = answer.body as SubmissionAnswer
    expect(body).toMatchObject({ submission, state: 'complete', taskCount: 120, finishedCount: 120 })
    const tools = body.tasks?.map(task => task.status === 'succeeded' && (task.answer as Echo).echo.tool)
    expect(tools).toEqual(tasks.map(task => task.tool))
    expect([...countStarts(fleet)].filter(([task, count]) => task.startsWith(submission) && count !== 1)).toEqual([])
  })

  test('resubmissions through every entry at the same time join one submission', async () => {
    const submission = createSubmissionKey()
    const tasks = createTasks(60, 10)
    const entries = [...fleet.entries, ...fleet.entries]
    const answers = await Promise.all(entries.map(entry => submit(entry, submission, tasks)))
    for (const answer of answers) expect(answer).toEqual(answers[0])
    const starts = [...countStarts(fleet)].filter(([task]) => task.startsWith(submission))
    expect(starts.filter(([, count]) => count !== 1)).toEqual([])
    expect(starts).toHaveLength(60)
  })

  test('the same key with another body is a conflict and starts nothing', async () => {
    const submission = createSubmissionKey()
    await submit(fleet.entries[0]!, submission, createTasks(2, 5))
    const other = await submit(fleet.entries[1]!, submission, createTasks(3, 5))
    expect(other).toMatchObject({ status: 409, body: { kind: 'key-conflict', ran: 'no' } })
  })

  test('a failing task makes the job failed, with the outcome of every task', async () => {
    const tasks = [...createTasks(3, 5), { tool: 'x', member: 'awa', fail: true }]
    const answer = await submit(fleet.entries[2]!, createSubmissionKey(), tasks)
    const body = answer.body as SubmissionAnswer
    expect(body.state).toBe('failed')
    expect(body.tasks?.map(task => task.status)).toEqual(['succeeded', 'succeeded', 'succeeded', 'failed'])
  })

  test('cancelling keeps what has not started from starting and reports what has', async () => {
    const submission = createSubmissionKey()
    await submit(fleet.entries[0]!, submission, createTasks(400, 100), 100)
    const answer = await send({
      method: 'DELETE',
      url: fleet.entries[1]!.url,
      path: `/v1/submissions/${submission}`,
      secret: callerSecret('medina')
    })
    const body = answer.body as SubmissionAnswer
    expect(body.state).toBe('failed')
    const starts = countStarts(fleet)
    for (const [index, task] of (body.tasks ?? []).entries()) {
      const count = starts.get(`${submission}/${index}`) ?? 0
      expect(count, `task ${index} is ${task.status}`).toBe(task.status === 'not-run' ? 0 : 1)
    }
    expect(body.tasks?.filter(task => task.status === 'not-run').length).toBeGreaterThan(200)
  })

  test('a call is answered by its own upstream answer', async () => {
    const calls = fleet.entries.map(entry => send({
      method: 'POST',
      url: entry.url,
      path: '/v1/calls',
      secret: callerSecret('medina'),
      body: { template: 'reserve-tool', customer: 'medina', input: { tool: entry.identity.slice(0, 7), member: 'awa' } }
    }))
    for (const [place, answer] of (await Promise.all(calls)).entries()) {
      const tool = fleet.entries[place]!.identity.slice(0, 7)
      expect(answer).toMatchObject({ status: 200, body: { answer: { echo: { tool } } } })
    }
  })

  test("a customer's key reads and cancels no other customer's submission", async () => {
    const submission = createSubmissionKey()
    await submit(fleet.entries[0]!, submission, createTasks(1, 5))
    for (const method of ['GET', 'DELETE'] as const) {
      const answer = await send({
        method, url: fleet.entries[1]!.url, path: `/v1/submissions/${submission}`, secret: callerSecret('kalamaja')
      })
      expect(answer.status, method).toBeGreaterThanOrEqual(400)
      expect(answer.body).not.toHaveProperty('tasks')
    }
  })

  test('no invariant was violated', () => {
    expect(violations(fleet)).toBe(0)
  })
})
