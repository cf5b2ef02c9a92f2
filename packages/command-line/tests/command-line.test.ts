import { readFileSync } from 'node:fs'
import { mkdtemp, readFile, rm, writeFile } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { afterEach, beforeAll, afterAll, describe, expect, test } from 'vitest'
import { createAgentIdentity, createEntryIdentity, createSubmissionKey, ERROR_KINDS } from '@baobabpost/common'
import { createProblem, type BurnReport, type FleetStatus, type Template } from '@baobabpost/messages'
import { COMMANDS, EXIT_CODES, exitNameForErrorKind } from '@baobabpost/command-line'
import { runCommand, startStubEntry, type ReceivedRequest, type StubEntry, type StubAnswer } from './run-command.js'

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

let entry: StubEntry | undefined

async function startEntryWith (
  answer: (request: ReceivedRequest, index: number) => StubAnswer
): Promise<NodeJS.ProcessEnv> {
  entry = await startStubEntry(answer)
  return { BAOBABPOST_ENTRY_URL: entry.url, BAOBABPOST_ACCESS_KEY: 'operator-secret-01' }
}

function runningAnswer (finishedCount: number): StubAnswer {
  return { status: 202, body: { submission: SUBMISSION, state: 'running', taskCount: 3, finishedCount } }
}

const COMPLETE_ANSWER: StubAnswer = {
  status: 200,
  body: {
    submission: SUBMISSION, state: 'complete', taskCount: 1, finishedCount: 1, tasks: [{ status: 'succeeded', answer: 7 }]
  }
}

afterEach(() => { entry?.close() })

describe('usage', () => {
  test('every command has a summary, examples and the flag --json', () => {
    for (const [name, command] of Object.entries(COMMANDS)) {
      expect(command.summary, name).toBeTruthy()
      expect(command.examples, name).not.toHaveLength(0)
      expect(command.enableJsonFlag, name).toBe(true)
    }
  })

  test.each([['call'], ['job submit'], ['configuration publish']])('%s --help prints examples and flags', async name => {
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
    ['an invalid submission key', ['job', 'show', 'abc']],
    ['a missing file', ['template', 'publish', '/absent/lending.json']],
    ['an address that is not a URL', ['fleet', 'status', '--entry', 'nowhere']],
    ['neither a file nor --remove', ['configuration', 'publish', 'customer', 'medina']],
    ['a register kind that operators can not publish', ['configuration', 'history', 'partition', '7']]
  ])('%s: exits with code 2 and prints nothing to standard output', async (_name, argv) => {
    const result = await runCommand(argv)
    expect(result.code).toBe(EXIT_CODES.usage.code)
    expect(result.output).toBe('')
    expect(result.errors).toContain('--help')
  })

  test('an invalid job is reported with its fault, and nothing is sent', async () => {
    const environment = await startEntryWith(() => COMPLETE_ANSWER)
    const result = await runCommand(['job', 'submit', '-'], environment, '{"template":"checkout","customer":"medina","tasks":[]}')
    expect(result.code).toBe(EXIT_CODES.usage.code)
    expect(result.errors).toContain('tasks')
    expect(entry?.receivedRequests).toEqual([])
  })

  test('the help lists every exit code', () => {
    const text = readFileSync(new URL('../package.json', import.meta.url), 'utf8')
    const { oclif } = JSON.parse(text) as { oclif: { description: string } }
    for (const { code } of Object.values(EXIT_CODES)) expect(oclif.description).toMatch(new RegExp(`^${code} \\S`, 'm'))
  })
})

describe('errors and invalid answers of an entry', () => {
  test('exits with code 3 if no entry listens at the address', async () => {
    const result = await runCommand(['fleet', 'status', '--entry', 'http://127.0.0.1:9', '--json'])
    expect(result.code).toBe(EXIT_CODES.unreachable.code)
    expect(JSON.parse(result.output)).toMatchObject({ error: { exit: 'unreachable' } })
  })

  test.each([
    ['forbidden', 4], ['unknown-submission', 5], ['version-conflict', 6], ['not-run', 7], ['outcome-unknown', 8],
    ['upstream-failed', 9], ['internal', 1]
  ] as const)('the error kind %s: exits with code %d and prints what to do next', async (kind, code) => {
    const problem = createProblem(kind, 'as it is')
    const environment = await startEntryWith(() => ({ status: 400, body: problem }))
    const result = await runCommand(['call', '-'], environment, '{"template":"checkout","customer":"medina","input":{}}')
    expect(result.code).toBe(code)
    expect(result.errors).toContain(problem.next)
  })

  test('no error kind has the exit code 0', () => {
    for (const kind of ERROR_KINDS) expect(EXIT_CODES[exitNameForErrorKind(kind)].code, kind).not.toBe(0)
  })

  test('an answer that does not match its schema is an error', async () => {
    const environment = await startEntryWith(() => ({ status: 200, body: { entries: 7 } }))
    expect((await runCommand(['fleet', 'status'], environment)).code).toBe(EXIT_CODES.unreachable.code)
  })

  test('the access key is sent as a bearer token and never printed', async () => {
    const environment = await startEntryWith(() => ({ status: 401, body: createProblem('unauthenticated', 'The key is not valid') }))
    const result = await runCommand(['fleet', 'status'], environment)
    expect(entry?.receivedRequests[0]?.authorization).toBe('Bearer operator-secret-01')
    expect(result.code).toBe(EXIT_CODES.refused.code)
    expect(result.output + result.errors).not.toContain('operator-secret-01')
  })
})

describe('jobs', () => {
  test('submit repeats the request with the same key until the answer is complete, also after a lost connection', async () => {
    const answers = [
      runningAnswer(0), { status: 0, body: undefined, closesConnection: true }, runningAnswer(2), COMPLETE_ANSWER
    ]
    const environment = await startEntryWith((_request, index) => answers[index] ?? COMPLETE_ANSWER)
    const result = await runCommand(['job', 'submit', '-', '--submission', SUBMISSION, '--json'], environment, JOB)
    expect(result.code).toBe(0)
    expect(JSON.parse(result.output)).toEqual(COMPLETE_ANSWER.body)
    expect(entry?.receivedRequests).toHaveLength(4)
    for (const request of entry?.receivedRequests ?? []) {
      expect(request.method).toBe('PUT')
      expect(request.path.split('?')[0]).toBe(`/v1/submissions/${SUBMISSION}`)
      expect(request.body).toEqual(JSON.parse(JOB))
    }
  })

  test('a request that got a conflict is not repeated', async () => {
    const environment = await startEntryWith(() => ({ status: 409, body: createProblem('key-conflict', 'Another body') }))
    const result = await runCommand(['job', 'submit', '-', '--submission', SUBMISSION], environment, JOB)
    expect(result.code).toBe(EXIT_CODES.conflict.code)
    expect(entry?.receivedRequests).toHaveLength(1)
  })

  test('exits with code 10 if the job is still running after --wait', async () => {
    const environment = await startEntryWith(() => runningAnswer(1))
    const result = await runCommand(['job', 'submit', '-', '--wait', '0'], environment, JOB)
    expect(result.code).toBe(EXIT_CODES.unfinished.code)
    expect(result.output).toContain('1 of 3 tasks finished')
  })

  test('show counts the tasks of a failed job by outcome and reason, and exits with code 8 if an outcome is unknown', async () => {
    const tasks = [
      { status: 'succeeded', answer: 7 }, { status: 'outcome-unknown', reason: 'agent-lost' },
      { status: 'not-run', reason: 'cancelled' }, { status: 'not-run', reason: 'cancelled' }
    ]
    const body = { submission: SUBMISSION, state: 'failed', taskCount: 4, finishedCount: 4, tasks }
    const environment = await startEntryWith(() => ({ status: 200, body }))
    const result = await runCommand(['job', 'show', SUBMISSION, '--customer', 'medina'], environment)
    expect(entry?.receivedRequests[0]?.path).toContain('customer=medina')
    expect(result.code).toBe(EXIT_CODES['outcome-unknown'].code)
    expect(result.output).toContain('not-run (cancelled): 2')
  })

  test('explain prints each step with its time, processes and reason', async () => {
    const steps = [
      { at: 1_000, entry: ENTRY, event: 'accepted', detail: 'Its tasks wait', count: 3 },
      { at: 1_250, entry: ENTRY, event: 'refused', detail: 'Refused before they started: leaving', agent: AGENT, count: 2 }
    ]
    const environment = await startEntryWith(() => ({
      status: 200, body: { submission: SUBMISSION, steps, truncated: true }
    }))
    const result = await runCommand(['job', 'explain', SUBMISSION], environment)
    expect(result.output).toMatch(/\+250 ms +entry-1 +refused +2 +lending-3 +Refused before they started: leaving/)
    expect(result.output).toContain('Steps are missing')
  })
})

describe('configuration', () => {
  let directory: string
  beforeAll(async () => { directory = await mkdtemp(join(tmpdir(), 'baobabpost-command-')) })
  afterAll(async () => { await rm(directory, { recursive: true }) })

  test('publishing a template replaces the current version, or the version given with --replaces', async () => {
    const file = join(directory, 'checkout.json')
    await writeFile(file, JSON.stringify(TEMPLATE))
    const environment = await startEntryWith(({ method }) => method === 'GET'
      ? { status: 200, body: { register: 'template/checkout', version: 41, value: TEMPLATE } }
      : { status: 200, body: { register: 'template/checkout', version: 57 } })
    expect((await runCommand(['template', 'publish', file], environment)).output).toContain('version 57')
    expect(entry?.receivedRequests.at(-1)).toMatchObject({ method: 'PUT', body: { replaces: 41, value: TEMPLATE } })
    await runCommand(['template', 'publish', file, '--replaces', '12'], environment)
    expect(entry?.receivedRequests.at(-1)).toMatchObject({ method: 'PUT', body: { replaces: 12 } })
  })

  test('diff prints each member that differs', async () => {
    const file = join(directory, 'changed.json')
    await writeFile(file, JSON.stringify({ ...TEMPLATE, timeoutMilliseconds: 9_000 }))
    const body = { register: 'template/checkout', version: 41, value: TEMPLATE }
    const environment = await startEntryWith(() => ({ status: 200, body }))
    const result = await runCommand(['configuration', 'diff', 'template', 'checkout', file], environment)
    expect(result.output.trim().split('\n')).toEqual(['- timeoutMilliseconds: 5000', '+ timeoutMilliseconds: 9000'])
  })

  test('exits with the code for unknown things if a template was never published', async () => {
    const body = { register: 'template/absent', version: 0, value: null }
    const environment = await startEntryWith(() => ({ status: 200, body }))
    expect((await runCommand(['template', 'show', 'absent'], environment)).code).toBe(EXIT_CODES.unknown.code)
  })
})

describe('fleet and reports', () => {
  test('tables fit the terminal width and have no colours if the output is piped', async () => {
    const environment = await startEntryWith(() => ({ status: 200, body: FLEET }))
    for (const argv of [['upstream', 'list'], ['fleet', 'status']]) {
      const result = await runCommand(argv, { ...environment, COLUMNS: '100' })
      expect(result.output).not.toContain('\u001b')
      for (const line of result.output.split('\n')) expect(line.length, line).toBeLessThanOrEqual(100)
    }
  })

  test.each([['identity', AGENT], ['name', 'lending-3']])('drain accepts the %s of an agent', async (_form, given) => {
    const accepted = { agent: AGENT, standing: 'leaving', unfinished: 3 }
    const environment = await startEntryWith(({ method }) => ({ status: 200, body: method === 'GET' ? FLEET : accepted }))
    const result = await runCommand(['upstream', 'drain', given], environment)
    const path = `/v1/upstreams/${encodeURIComponent(AGENT)}/drain`
    expect(entry?.receivedRequests.at(-1)).toMatchObject({ method: 'POST', path })
    expect(result.output).toContain('is leaving')
  })

  test('drain lists the identities and drains no agent if two agent processes have the given name', async () => {
    const [agent] = FLEET.agents
    const second = { ...agent, identity: createAgentIdentity('lending-3') }
    const environment = await startEntryWith(() => ({ status: 200, body: { ...FLEET, agents: [agent, second] } }))
    const result = await runCommand(['upstream', 'drain', 'lending-3'], environment)
    expect(result.code).toBe(EXIT_CODES.usage.code)
    expect(result.errors).toContain(second.identity)
    expect(entry?.receivedRequests.map(request => request.method)).toEqual(['GET'])
  })

  test('the burn report is printed as a table or as JSON, and written as an HTML page', async () => {
    const report: BurnReport = { at: 0, periodMilliseconds: 259_200_000, entries: [ENTRY], objectives: [] }
    const environment = await startEntryWith(() => ({ status: 200, body: report }))
    const directory = await mkdtemp(join(tmpdir(), 'baobabpost-page-'))
    const file = join(directory, 'burn.html')
    expect((await runCommand(['report', 'burn', '--page', file], environment)).output).toContain('No objectives')
    expect(await readFile(file, 'utf8')).toContain('<!doctype html>')
    expect(JSON.parse((await runCommand(['report', 'burn', '--json'], environment)).output)).toEqual(report)
    await rm(directory, { recursive: true })
  })
})
