import { afterEach, beforeEach, describe, expect, test } from 'vitest'
import { OPERATOR_SECRET, send, type Fleet } from '@baobabpost/demo'
import {
  registerName, type DomainList, type Explanation, type FailureDomain, type FleetStatus, type Policy, type Problem
} from '@baobabpost/messages'
import { runCommand, type CommandResult } from '../../command-line/tests/run-command.js'
import { countInvariantViolations, createSubmissionKey, createTasks, SLOTS, startSmallFleet, submit } from './small-fleet.js'

const DOMAINS = ['dakar-1', 'dakar-2', 'dakar-3']
/** Two heartbeats of agents, after which all processes have told what they know. */
const SETTLE_MILLISECONDS = 1_500
const POLLING = { interval: 5, timeout: 20_000 }

let fleet: Fleet

beforeEach(async () => { fleet = await startSmallFleet() })
afterEach(async () => {
  expect(countInvariantViolations(fleet)).toBe(0)
  await fleet.stop()
})

function run (argv: readonly string[], entryIndex = 0): Promise<CommandResult> {
  const environment = {
    BAOBABPOST_ENTRY_URL: fleet.entries[entryIndex]!.url, BAOBABPOST_ACCESS_KEY: OPERATOR_SECRET
  }
  return runCommand(argv, environment, '')
}

async function runJson<Answer> (argv: readonly string[], entryIndex = 0): Promise<Answer> {
  const end = await run([...argv, '--json'], entryIndex)
  expect(end.errors).toBe('')
  return JSON.parse(end.output) as Answer
}

function settle (milliseconds = SETTLE_MILLISECONDS): Promise<void> {
  return new Promise(resolve => { setTimeout(resolve, milliseconds) })
}

/** Number of starts at each upstream. */
function startsByUpstream (): number[] {
  return fleet.upstreams.map(({ upstream }) => [...upstream.starts().values()].reduce((sum, count) => sum + count, 0))
}

/** Sends jobs to each entry and returns the upstreams, by index, at which their tasks started. */
async function upstreamsUsed (): Promise<number[]> {
  const before = startsByUpstream()
  const answers = await Promise.all(fleet.entries.map(entry =>
    submit(entry, createSubmissionKey(), createTasks(24, 10))))
  for (const answer of answers) expect(answer.status).toBe(200)
  return startsByUpstream().flatMap((count, index) => count > before[index]! ? [index] : [])
}

async function domainOf (name: string, entryIndex = 0): Promise<FailureDomain | undefined> {
  const { domains } = await runJson<DomainList>(['domain', 'list'], entryIndex)
  return domains.find(domain => domain.name === name)
}

async function setPrefetchTasks (prefetchTasks: number): Promise<void> {
  const [entry] = fleet.entries
  const register = registerName('policy', 'lending')
  const { version, value } = entry!.core.components.projection.read(register)!
  const { status } = await send({
    method: 'PUT',
    url: entry!.url,
    path: `/v1/configuration/${register}`,
    secret: OPERATOR_SECRET,
    body: { replaces: version, value: { ...value as Policy, prefetchTasks } }
  })
  expect(status).toBe(200)
}

describe('an evacuated failure domain', () => {
  test('gets nothing after its agent and all entries were started again', { timeout: 60_000 }, async () => {
    await run(['domain', 'evacuate', 'dakar-1'])
    await settle()
    const replaced = fleet.upstreams[0]!
    await fleet.stopAgent(replaced)
    await fleet.addAgent(replaced)
    for (const [index, entry] of [...fleet.entries].entries()) {
      await fleet.addEntry(DOMAINS[index]!)
      await fleet.stopEntry(entry)
    }
    await settle(3_000)
    expect(await domainOf('dakar-1')).toMatchObject({ evacuated: true, agents: 1, agentsInformed: 1 })
    const before = [...replaced.upstream.starts().values()].length
    await upstreamsUsed()
    expect([...replaced.upstream.starts().values()].length).toBe(before)
  })

  test('stays so while the log is down, and no evacuation is acknowledged then', { timeout: 60_000 }, async () => {
    await run(['domain', 'evacuate', 'dakar-3'])
    await settle()
    fleet.platform.inject({ outage: 'refuse' })
    const end = await run(['domain', 'evacuate', 'dakar-1'])
    expect(end.code).not.toBe(0)
    expect(await domainOf('dakar-3', 1)).toMatchObject({ evacuated: true })
    fleet.platform.inject({ outage: 'none' })
    await settle(3_000)
    expect(await upstreamsUsed()).not.toContain(2)
  })

  test('gets nothing from any entry, is shown, and is used again once it is restored', { timeout: 60_000 }, async () => {
    const { domains } = await runJson<DomainList>(['domain', 'list'])
    expect(domains.map(({ name, evacuated }) => [name, evacuated])).toEqual(DOMAINS.map(name => [name, false]))
    expect((await run(['domain', 'evacuate', 'dakar-3', '--reason', 'power'], 0)).output).toContain('dakar-3 is evacuated')
    await settle()
    expect(await upstreamsUsed()).toEqual([0, 1])
    expect(await domainOf('dakar-3', 1)).toMatchObject({
      evacuated: true, reason: 'power', agents: 1, agentsInformed: 1, entries: 3, entriesInformed: 3
    })
    const status = await runJson<FleetStatus>(['fleet', 'status'], 2)
    expect(status.evacuatedDomains).toEqual(['dakar-3'])
    expect(status.agents.find(({ failureDomain }) => failureDomain === 'dakar-3')).toMatchObject({
      standing: 'leaving', reason: 'failure domain evacuated'
    })
    expect((await run(['fleet', 'status'])).output).toContain('evacuated   dakar-3')
    await run(['domain', 'restore', 'dakar-3'], 1)
    await settle()
    expect(await upstreamsUsed()).toContain(2)
  })

  test('stays evacuated when the same is asked again, and of two operators at once all entries see one result', { timeout: 60_000 }, async () => {
    const ends = await Promise.all([0, 1].map(entry => run(['domain', 'evacuate', 'dakar-2'], entry)))
    expect(ends.map(({ code }) => code)).toEqual([0, 0])
    expect((await run(['domain', 'evacuate', 'dakar-2'], 2)).code).toBe(0)
    await settle()
    const opposite = await Promise.all([
      run(['domain', 'restore', 'dakar-2'], 0), run(['domain', 'evacuate', 'dakar-2', '--reason', 'other'], 1)
    ])
    // Either order may come first; of two writes that replace the same version one is refused as a conflict.
    for (const { code } of opposite) expect([0, 6]).toContain(code)
    await settle()
    const states = await Promise.all([0, 1, 2].map(entry => domainOf('dakar-2', entry)))
    for (const state of states) expect(state).toEqual(states[0])
    expect((await upstreamsUsed()).includes(1)).toBe(states[0]?.evacuated === false)
  })

  test('follows an evacuation, a restoration and an evacuation within a second', { timeout: 60_000 }, async () => {
    for (const action of ['evacuate', 'restore', 'evacuate']) expect((await run(['domain', action, 'dakar-1'])).code).toBe(0)
    await settle()
    expect(await upstreamsUsed()).toEqual([1, 2])
  })

  test('is refused as unknown, with the known names, if no process is in it', async () => {
    const end = await run(['domain', 'evacuate', 'dakar-9'])
    expect(end.code).not.toBe(0)
    expect(end.errors).toContain("There is no failure domain 'dakar-9'; known are: dakar-1, dakar-2, dakar-3")
  })

  test('refuses jobs at once with a Retry-After while all domains are evacuated', { timeout: 60_000 }, async () => {
    for (const domain of DOMAINS) expect((await run(['domain', 'evacuate', domain])).code).toBe(0)
    await settle()
    const sentAt = performance.now()
    const answer = await submit(fleet.entries[1]!, createSubmissionKey(), createTasks(3, 10))
    expect(performance.now() - sentAt).toBeLessThan(2_000)
    expect(answer.status).toBe(503)
    expect(answer.body as Problem).toMatchObject({
      kind: 'not-run', ran: 'no', reason: 'evacuated', retryAfterMilliseconds: 5_000
    })
    for (const domain of DOMAINS) await run(['domain', 'restore', domain])
    await settle()
    expect(await upstreamsUsed()).not.toEqual([])
  })

  test('explains that an agent gave tasks back because of it', { timeout: 60_000 }, async () => {
    const { agent, upstream } = fleet.upstreams[2]!
    await setPrefetchTasks(8 * SLOTS)
    await expect.poll(() => agent.snapshot().prefetchTasks, POLLING).toBe(8 * SLOTS)
    const submission = createSubmissionKey()
    const answer = submit(fleet.entries[0]!, submission, createTasks(300, 200))
    await expect.poll(() => agent.snapshot().queuedTasks, POLLING).toBeGreaterThan(2 * SLOTS)
    // At full speed an agent starts what it has queued before it learns of the evacuation on a busy machine.
    await upstream.setFault({ kind: 'slow', factor: 100 })
    // A command starts a process, which takes seconds on a busy machine.
    const { status } = await send({
      method: 'POST', url: fleet.entries[0]!.url, path: '/v1/domains/dakar-3/evacuate', secret: OPERATOR_SECRET
    })
    expect(status).toBe(200)
    expect((await answer).status).toBe(200)
    const { steps } = await runJson<Explanation>(['job', 'explain', submission, '--customer', 'medina'])
    expect(steps.some(({ event, detail }) => event === 'refused' && detail.endsWith('evacuated'))).toBe(true)
  })
})
