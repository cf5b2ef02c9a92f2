import { readFileSync } from 'node:fs'
import { mkdtemp, readFile, rm, writeFile } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { afterEach, beforeAll, afterAll, describe, expect, test } from 'vitest'
import { createAgentIdentity, createEntryIdentity, createSubmissionKey, ERROR_KINDS } from '@baobabpost/common'
import { createProblem, type BurnReport, type FleetStatus, type Template } from '@baobabpost/messages'
import { COMMANDS, EXIT_CODES, exitAfter } from '@baobabpost/command-line'
import { runCommand, startEntry, type AskedRequest, type EntryStandIn, type GivenAnswer } from './run-command.js'

const SUBMISSION = createSubmissionKey()
const AGENT = createAgentIdentity('lending-3')
const ENTRY = createEntryIdentity('entry-1')
const JOB = JSON.stringify({ template: 'checkout', customer: 'medina', tasks: [{ tool: 'drill-7' }] })
const TEMPLATE: Template = {
  name: 'checkout',
  service: 'lending',
  path: '/checkout',
  callType: 'non-idempotent',
  taskParameters: ['tool'],
  requiredParameters: ['tool'],
  defaults: {},
  timeoutMilliseconds: 5_000,
  expectedMilliseconds: 200
}

const FLEET: FleetStatus = {
  identity: ENTRY,
  address: '127.0.0.1:7001',
  failureDomain: 'dakar-a',
  state: 'ready',
  version: '0.1.0',
  at: 1_000_000,
  startedAt: 0,
  position: 41,
  logSilentMilliseconds: 3,
  partitionsOwned: 86,
  partitionsCollecting: 0,
  submissionsRunning: 2,
  callsPending: 1,
  invariantViolations: 0,
  queues: [{ service: 'lending', tasks: 12 }],
  entries: [{
    identity: ENTRY, address: '127.0.0.1:7001', failureDomain: 'dakar-a', state: 'ready', position: 41, heardAt: 999_000, partitionsOwned: 86
  }],
  agents: [{
    identity: AGENT,
    address: '127.0.0.1:7101',
    service: 'lending',
    failureDomain: 'dakar-a',
    standing: 'ejected',
    reason: 'fails 9 of 10 tasks while its peers fail none',
    slots: 8,
    window: 10,
    unfinished: 3,
    speed: 1.25
  }]
}

let entry: EntryStandIn | undefined

async function serve (answer: (request: AskedRequest, place: number) => GivenAnswer): Promise<NodeJS.ProcessEnv> {
  entry = await startEntry(answer)
  return { BAOBABPOST_ENTRY_URL: entry.url, BAOBABPOST_ACCESS_KEY: 'operator-secret-01' }
}

function running (finishedCount: number): GivenAnswer {
  return { status: 202, body: { submission: SUBMISSION, state: 'running', taskCount: 3, finishedCount } }
}

const COMPLETE: GivenAnswer = {
  status: 200,
  body: {
    submission: SUBMISSION, state: 'complete', taskCount: 1, finishedCount: 1, tasks: [{ status: 'succeeded', answer: 7 }]
  }
}

afterEach(() => { entry?.close() })

describe('usage', () => {
  test('every command has a summary and examples and takes --json', () => {
    for (const [name, command] of Object.entries(COMMANDS)) {
      expect(command.summary, name).toBeTruthy()
      expect(command.examples, name).not.toHaveLength(0)
      expect(command.enableJsonFlag, name).toBe(true)
    }
  })

  test.each([['call'], ['job submit'], ['configuration publish']])('%s --help shows its examples and flags', async name => {
    const { code, output } = await runCommand([...name.split(' '), '--help'])
    expect(code).toBe(0)
    expect(output).toContain('EXAMPLES')
    expect(output).toContain('BAOBABPOST_ENTRY_URL')
    expect(output).toContain('--json')
  })

  test.each([
    ['an unknown command', ['frobnicate']],
    ['a missing argument', ['job', 'show']],
    ['an unknown flag', ['fleet', 'status', '--colour']],
    ['a submission key of another form', ['job', 'show', 'abc']],
    ['a file that is not there', ['template', 'publish', '/absent/lending.json']],
    ['an address that is no URL', ['fleet', 'status', '--entry', 'nowhere']],
    ['neither a file nor --remove', ['configuration', 'publish', 'customer', 'medina']],
    ['a kind that operators do not publish', ['configuration', 'history', 'partition', '7']]
  ])('%s ends with exit code 2 and nothing on standard output', async (_name, argv) => {
    const end = await runCommand(argv)
    expect(end.code).toBe(EXIT_CODES.usage.code)
    expect(end.output).toBe('')
    expect(end.errors).toContain('--help')
  })

  test('a job that is wrong is named with its fault before anything is sent', async () => {
    const environment = await serve(() => COMPLETE)
    const end = await runCommand(['job', 'submit', '-'], environment, '{"template":"checkout","customer":"medina","tasks":[]}')
    expect(end.code).toBe(EXIT_CODES.usage.code)
    expect(end.errors).toContain('tasks')
    expect(entry?.asked).toEqual([])
  })

  test('the help lists every exit code', () => {
    const text = readFileSync(new URL('../package.json', import.meta.url), 'utf8')
    const { oclif } = JSON.parse(text) as { oclif: { description: string } }
    for (const { code } of Object.values(EXIT_CODES)) expect(oclif.description).toMatch(new RegExp(`^${code} \\S`, 'm'))
  })
})

describe('answers of an entry', () => {
  test('no entry at the address ends with exit code 3', async () => {
    const end = await runCommand(['fleet', 'status', '--entry', 'http://127.0.0.1:9', '--json'])
    expect(end.code).toBe(EXIT_CODES.unreachable.code)
    expect(JSON.parse(end.output)).toMatchObject({ error: { exit: 'unreachable' } })
  })

  test.each([
    ['forbidden', 4], ['unknown-submission', 5], ['version-conflict', 6], ['not-run', 7], ['outcome-unknown', 8],
    ['upstream-failed', 9], ['internal', 1]
  ] as const)('%s ends with exit code %d and says what to do next', async (kind, code) => {
    const problem = createProblem(kind, 'as it is')
    const environment = await serve(() => ({ status: 400, body: problem }))
    const end = await runCommand(['call', '-'], environment, '{"template":"checkout","customer":"medina","input":{}}')
    expect(end.code).toBe(code)
    expect(end.errors).toContain(problem.next)
  })

  test('no error kind ends as if all were well', () => {
    for (const kind of ERROR_KINDS) expect(EXIT_CODES[exitAfter(kind)].code, kind).not.toBe(0)
  })

  test('an answer of another form is not taken for a result', async () => {
    const environment = await serve(() => ({ status: 200, body: { entries: 7 } }))
    expect((await runCommand(['fleet', 'status'], environment)).code).toBe(EXIT_CODES.unreachable.code)
  })

  test('the key is sent as a bearer key and never printed', async () => {
    const environment = await serve(() => ({ status: 401, body: createProblem('unauthenticated', 'The key is not valid') }))
    const end = await runCommand(['fleet', 'status'], environment)
    expect(entry?.asked[0]?.authorization).toBe('Bearer operator-secret-01')
    expect(end.code).toBe(EXIT_CODES.refused.code)
    expect(end.output + end.errors).not.toContain('operator-secret-01')
  })
})

describe('jobs', () => {
  test('a job is followed to its whole answer under one key, over a lost connection', async () => {
    const answers = [running(0), { status: 0, body: undefined, hangUp: true }, running(2), COMPLETE]
    const environment = await serve((_request, place) => answers[place] ?? COMPLETE)
    const end = await runCommand(['job', 'submit', '-', '--submission', SUBMISSION, '--json'], environment, JOB)
    expect(end.code).toBe(0)
    expect(JSON.parse(end.output)).toEqual(COMPLETE.body)
    expect(entry?.asked).toHaveLength(4)
    for (const request of entry?.asked ?? []) {
      expect(request.method).toBe('PUT')
      expect(request.path.split('?')[0]).toBe(`/v1/submissions/${SUBMISSION}`)
      expect(request.body).toEqual(JSON.parse(JOB))
    }
  })

  test('a conflict is not asked again', async () => {
    const environment = await serve(() => ({ status: 409, body: createProblem('key-conflict', 'Another body') }))
    const end = await runCommand(['job', 'submit', '-', '--submission', SUBMISSION], environment, JOB)
    expect(end.code).toBe(EXIT_CODES.conflict.code)
    expect(entry?.asked).toHaveLength(1)
  })

  test('a job that goes on after --wait ends with exit code 10', async () => {
    const environment = await serve(() => running(1))
    const end = await runCommand(['job', 'submit', '-', '--wait', '0'], environment, JOB)
    expect(end.code).toBe(EXIT_CODES.unfinished.code)
    expect(end.output).toContain('1 of 3 tasks finished')
  })

  test('a failed job counts its outcomes by reason, and one of unknown outcome ends with exit code 8', async () => {
    const tasks = [
      { status: 'succeeded', answer: 7 }, { status: 'outcome-unknown', reason: 'agent-lost' },
      { status: 'not-run', reason: 'cancelled' }, { status: 'not-run', reason: 'cancelled' }
    ]
    const body = { submission: SUBMISSION, state: 'failed', taskCount: 4, finishedCount: 4, tasks }
    const environment = await serve(() => ({ status: 200, body }))
    const end = await runCommand(['job', 'show', SUBMISSION, '--customer', 'medina'], environment)
    expect(entry?.asked[0]?.path).toContain('customer=medina')
    expect(end.code).toBe(EXIT_CODES['outcome-unknown'].code)
    expect(end.output).toContain('not-run (cancelled): 2')
  })

  test('explain writes each step with its time, place and reason', async () => {
    const steps = [
      { at: 1_000, entry: ENTRY, event: 'accepted', detail: 'Its tasks wait', count: 3 },
      { at: 1_250, entry: ENTRY, event: 'refused', detail: 'Refused before they started: leaving', agent: AGENT, count: 2 }
    ]
    const environment = await serve(() => ({ status: 200, body: { submission: SUBMISSION, steps, truncated: true } }))
    const end = await runCommand(['job', 'explain', SUBMISSION], environment)
    expect(end.output).toMatch(/\+250 ms +entry-1 +refused +2 +lending-3 +Refused before they started: leaving/)
    expect(end.output).toContain('Steps are missing')
  })
})

describe('configuration', () => {
  let directory: string
  beforeAll(async () => { directory = await mkdtemp(join(tmpdir(), 'baobabpost-command-')) })
  afterAll(async () => { await rm(directory, { recursive: true }) })

  test('a template is published against the version in force, or the one that is named', async () => {
    const file = join(directory, 'checkout.json')
    await writeFile(file, JSON.stringify(TEMPLATE))
    const environment = await serve(({ method }) => method === 'GET'
      ? { status: 200, body: { register: 'template/checkout', version: 41, value: TEMPLATE } }
      : { status: 200, body: { register: 'template/checkout', version: 57 } })
    expect((await runCommand(['template', 'publish', file], environment)).output).toContain('version 57')
    expect(entry?.asked.at(-1)).toMatchObject({ method: 'PUT', body: { replaces: 41, value: TEMPLATE } })
    await runCommand(['template', 'publish', file, '--replaces', '12'], environment)
    expect(entry?.asked.at(-1)).toMatchObject({ method: 'PUT', body: { replaces: 12 } })
  })

  test('diff names each member that differs', async () => {
    const file = join(directory, 'changed.json')
    await writeFile(file, JSON.stringify({ ...TEMPLATE, timeoutMilliseconds: 9_000 }))
    const body = { register: 'template/checkout', version: 41, value: TEMPLATE }
    const environment = await serve(() => ({ status: 200, body }))
    const end = await runCommand(['configuration', 'diff', 'template', 'checkout', file], environment)
    expect(end.output.trim().split('\n')).toEqual(['- timeoutMilliseconds: 5000', '+ timeoutMilliseconds: 9000'])
  })

  test('a template that was never published is unknown', async () => {
    const body = { register: 'template/absent', version: 0, value: null }
    const environment = await serve(() => ({ status: 200, body }))
    expect((await runCommand(['template', 'show', 'absent'], environment)).code).toBe(EXIT_CODES.unknown.code)
  })
})

describe('fleet and reports', () => {
  test('tables fit the terminal, without colours where there is none', async () => {
    const environment = await serve(() => ({ status: 200, body: FLEET }))
    for (const argv of [['upstream', 'list'], ['fleet', 'status']]) {
      const end = await runCommand(argv, { ...environment, COLUMNS: '100' })
      expect(end.output).not.toContain('\u001b')
      for (const line of end.output.split('\n')) expect(line.length, line).toBeLessThanOrEqual(100)
    }
  })

  test.each([['identity', AGENT], ['name', 'lending-3']])('drain takes the %s of an agent', async (_form, given) => {
    const accepted = { agent: AGENT, standing: 'leaving', unfinished: 3 }
    const environment = await serve(({ method }) => ({ status: 200, body: method === 'GET' ? FLEET : accepted }))
    const end = await runCommand(['upstream', 'drain', given], environment)
    const path = `/v1/upstreams/${encodeURIComponent(AGENT)}/drain`
    expect(entry?.asked.at(-1)).toMatchObject({ method: 'POST', path })
    expect(end.output).toContain('is leaving')
  })

  test('drain of a name that two runs of an agent have names both and drains none', async () => {
    const [agent] = FLEET.agents
    const second = { ...agent, identity: createAgentIdentity('lending-3') }
    const environment = await serve(() => ({ status: 200, body: { ...FLEET, agents: [agent, second] } }))
    const end = await runCommand(['upstream', 'drain', 'lending-3'], environment)
    expect(end.code).toBe(EXIT_CODES.usage.code)
    expect(end.errors).toContain(second.identity)
    expect(entry?.asked.map(request => request.method)).toEqual(['GET'])
  })

  test('the burn report comes as a table, as JSON and as a page that fetches nothing', async () => {
    const report: BurnReport = { at: 0, periodMilliseconds: 259_200_000, entries: [ENTRY], objectives: [] }
    const environment = await serve(() => ({ status: 200, body: report }))
    const directory = await mkdtemp(join(tmpdir(), 'baobabpost-page-'))
    const file = join(directory, 'burn.html')
    expect((await runCommand(['report', 'burn', '--page', file], environment)).output).toContain('No objectives')
    expect(await readFile(file, 'utf8')).toContain('<!doctype html>')
    expect(JSON.parse((await runCommand(['report', 'burn', '--json'], environment)).output)).toEqual(report)
    await rm(directory, { recursive: true })
  })
})
