import { afterAll, beforeAll, describe, expect, test } from 'vitest'
import type { SubmissionKey } from '@baobabpost/common'
import { callerSecret, publishSampleConfigurationThrough, send, type CallerAnswer } from '@baobabpost/demo'
import type { SubmissionAnswer, TaskOutcome } from '@baobabpost/messages'
import { startProcessFleet, until, type ProcessEntry, type ProcessFleet } from './process-fleet.js'
import { createSubmissionKey, createTasks } from './small-fleet.js'

let fleet: ProcessFleet

beforeAll(async () => {
  fleet = await startProcessFleet(3, [1, 2, 3, 4])
  await publishSampleConfigurationThrough(fleet.entries[0]!.url)
}, 60_000)
afterAll(async () => { await fleet.close() })

function living (): ProcessEntry[] {
  return fleet.entries.filter(({ child }) => child.exitCode === null && child.signalCode === null)
}

function isFinal (answer: CallerAnswer): boolean {
  const { state } = answer.body as Partial<SubmissionAnswer>
  return state === 'complete' || state === 'failed'
}

/** A client that asks through one living entry after another until it has the whole answer. */
async function submitUntilWhole (
  submission: SubmissionKey, tasks: readonly unknown[], place: number
): Promise<SubmissionAnswer> {
  for (let round = 0; ; round += 1) {
    const entries = living()
    const entry = entries[(place + round) % entries.length]!
    const answer = await send({
      method: 'PUT',
      url: entry.url,
      path: `/v1/submissions/${submission}?waitMilliseconds=2000`,
      secret: callerSecret('medina'),
      body: { template: 'reserve-tool', customer: 'medina', tasks }
    }).catch(() => undefined)
    if (answer !== undefined && isFinal(answer)) return answer.body as SubmissionAnswer
    await new Promise(resolve => setTimeout(resolve, 100))
  }
}

function startsOf (submission: string, index: number): number {
  return fleet.agents.reduce((sum, { upstream }) => sum + (upstream.starts().get(`${submission}/${index}`) ?? 0), 0)
}

/** Checks every promise about one answer against what the upstreams counted. */
function checkAnswer (answer: SubmissionAnswer, taskCount: number): void {
  expect(answer.tasks).toHaveLength(taskCount)
  const tasks = answer.tasks as readonly TaskOutcome[]
  expect(answer.state).toBe(tasks.every(task => task.status === 'succeeded') ? 'complete' : 'failed')
  for (const [index, task] of tasks.entries()) {
    const starts = startsOf(answer.submission, index)
    expect(starts, `task ${index} is ${task.status}`).toBeLessThanOrEqual(1)
    if (task.status === 'not-run') expect(starts, `task ${index} was said not to have run`).toBe(0)
    if (task.status === 'succeeded' || task.status === 'failed') expect(starts).toBe(1)
    if (task.status === 'succeeded') expect(task.answer).toMatchObject({ echo: { tool: `tool-${index}` } })
  }
}

async function kill (child: ProcessEntry['child']): Promise<void> {
  const ended = new Promise(resolve => { child.once('exit', resolve) })
  child.kill('SIGKILL')
  await ended
}

describe('processes killed in the middle of jobs, while clients resubmit', () => {
  test('an entry dies: its jobs are taken over, nothing starts twice, every answer is whole', async () => {
    const submissions = Array.from({ length: 12 }, () => createSubmissionKey())
    const tasks = createTasks(150, 80)
    const answers = submissions.map((submission, place) => submitUntilWhole(submission, tasks, place))
    await new Promise(resolve => setTimeout(resolve, 1_000))
    await kill(fleet.entries[1]!.child)
    for (const answer of await Promise.all(answers)) checkAnswer(answer, 150)
    expect((await Promise.all(answers)).filter(answer => answer.state === 'complete')).toHaveLength(12)
  }, 60_000)

  test('new submissions of every partition are served after an entry death', async () => {
    await kill(fleet.entries[2]!.child)
    const keys = Array.from({ length: 40 }, () => createSubmissionKey())
    const answers = await Promise.all(keys.map((key, place) => submitUntilWhole(key, createTasks(1, 5), place)))
    expect(answers.map(answer => answer.state)).toEqual(keys.map(() => 'complete'))
  }, 60_000)

  test('an agent dies: its unreported tasks are of unknown outcome, and no other task is hurt', async () => {
    const submission = createSubmissionKey()
    const answer = submitUntilWhole(submission, createTasks(200, 150), 0)
    await until(() => fleet.agents[3]!.upstream.runningTasks() > 0)
    await kill(fleet.agents[3]!.child)
    const whole = await answer
    checkAnswer(whole, 200)
    const unknown = whole.tasks?.filter(task => task.status === 'outcome-unknown') ?? []
    expect(whole.tasks?.filter(task => task.status === 'failed')).toEqual([])
    expect(unknown.length).toBeGreaterThan(0)
    expect(unknown.length).toBeLessThanOrEqual(10)
  }, 60_000)

  test('no process reported a violated invariant', () => {
    expect(fleet.logs.filter(line => line.includes('invariant'))).toEqual([])
  })
})
