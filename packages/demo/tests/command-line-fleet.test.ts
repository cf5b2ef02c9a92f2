import { afterAll, beforeAll, describe, expect, test } from 'vitest'
import { callerSecret, OPERATOR_SECRET, type Fleet } from '@baobabpost/demo'
import type {
  BurnReport, ConfigurationHistory, ConfigurationStatus, Explanation, FleetStatus, SubmissionAnswer
} from '@baobabpost/messages'
import { runCommand, type CommandResult } from '../../command-line/tests/run-command.js'
import { createSubmissionKey, createTasks, startSmallFleet } from './small-fleet.js'

let fleet: Fleet

beforeAll(async () => { fleet = await startSmallFleet() })
afterAll(async () => { await fleet.stop() })

function run (argv: readonly string[], place = 0, input = '', secret = OPERATOR_SECRET): Promise<CommandResult> {
  const environment = { BAOBABPOST_ENTRY_URL: fleet.entries[place]!.url, BAOBABPOST_ACCESS_KEY: secret }
  return runCommand(argv, environment, input)
}

async function runJson<Answer> (argv: readonly string[], place = 0, input = ''): Promise<Answer> {
  const end = await run([...argv, '--json'], place, input)
  expect(end.errors.split('\n').filter(line => line !== '' && !line.startsWith('submission '))).toEqual([])
  expect(end.code).toBe(0)
  return JSON.parse(end.output) as Answer
}

function jobText (count: number, workMilliseconds: number): string {
  return JSON.stringify({ template: 'reserve-tool', customer: 'medina', tasks: createTasks(count, workMilliseconds) })
}

describe('the command line against a running fleet', () => {
  test('a job is submitted, shown and explained through different entries', async () => {
    const submission = createSubmissionKey()
    const submitted = await runJson<SubmissionAnswer>(['job', 'submit', '-', '--submission', submission], 0, jobText(30, 20))
    expect(submitted).toMatchObject({ state: 'complete', finishedCount: 30 })
    expect(await runJson(['job', 'show', submission, '--customer', 'medina'], 1)).toEqual(submitted)
    const { steps } = await runJson<Explanation>(['job', 'explain', submission, '--customer', 'medina'], 2)
    expect(steps[0]).toMatchObject({ event: 'accepted', count: 30 })
    expect(steps.some(step => step.event === 'dispatched' && step.agent !== undefined)).toBe(true)
    expect(steps.some(step => step.event === 'finished')).toBe(true)
  })

  test('a cancelled job tells what did not run and why', async () => {
    const submission = createSubmissionKey()
    await run(['job', 'submit', '-', '--submission', submission, '--wait', '0'], 0, jobText(400, 200))
    const end = await run(['job', 'cancel', submission, '--customer', 'medina'], 1)
    expect(end.code).toBe(0)
    expect(end.output).toContain('not-run (cancelled)')
  })

  test('a single call is answered, and a caller can not operate', async () => {
    const body = '{"template":"reserve-tool","customer":"medina","input":{"tool":"drill-7","member":"awa"}}'
    expect((await run(['call', '-'], 1, body, callerSecret('medina'))).code).toBe(0)
    expect((await run(['fleet', 'status'], 1, '', callerSecret('medina'))).code).toBe(4)
  })

  test('of two operators who decided on one version, one publishes and the other gets a conflict', async () => {
    const objective = (bound: number): string => JSON.stringify({
      name: 'counter', service: 'lending', customer: '*', indicator: 'response', boundMilliseconds: bound, target: 0.99
    })
    const publish = (bound: number, place: number): Promise<CommandResult> =>
      run(['configuration', 'publish', 'objective', 'counter', '-', '--replaces', '0'], place, objective(bound))
    const ends = await Promise.all([publish(500, 0), publish(700, 1)])
    expect(ends.map(end => end.code).sort()).toEqual([0, 6])
    const { versions } = await runJson<ConfigurationHistory>(['configuration', 'history', 'objective', 'counter'])
    expect(versions).toHaveLength(1)
    const diff = await run(['configuration', 'diff', 'objective', 'counter', '-'], 2, objective(900))
    expect(diff.output).toContain('+ boundMilliseconds: 900')
  })

  test('status tells that every process has the configuration', async () => {
    const { processes } = await runJson<ConfigurationStatus>(['configuration', 'status'])
    expect(processes.filter(process => process.role === 'entry')).toHaveLength(3)
    expect(processes.filter(process => process.role === 'agent')).toHaveLength(3)
  })

  test('the fleet, its upstreams and the burn report are told by any entry', async () => {
    const status = await runJson<FleetStatus>(['fleet', 'status'], 2)
    expect(status.entries).toHaveLength(3)
    expect(status.invariantViolations).toBe(0)
    expect((await run(['upstream', 'list'], 1)).output.match(/usable/g)).toHaveLength(3)
    expect((await run(['report', 'burn'], 1)).output).toContain('OBJECTIVE')
    expect(await runJson<BurnReport>(['report', 'burn'], 0)).toHaveProperty('objectives')
  })

  test('a drained upstream is told as leaving by the entry that drained it', async () => {
    const end = await run(['upstream', 'drain', 'agent-3'], 0)
    expect(end.code).toBe(0)
    const { agents } = await runJson<FleetStatus>(['fleet', 'status'], 0)
    expect(agents.find(agent => agent.identity.startsWith('agent-3@'))?.standing).toBe('leaving')
  })
})
