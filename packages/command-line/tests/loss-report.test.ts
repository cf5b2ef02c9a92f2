import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { expect, it } from 'vitest'
import { reportLosses, type LossCause } from '@baobabpost/command-line'
import { runCommand } from './run-command.js'

const START = Date.parse('2026-01-26T07:37:43.000Z')

interface JobLines {
  readonly id: string
  readonly second?: number
  readonly outcome?: string
  readonly reason?: string
  readonly milliseconds?: number
  /** Events besides the usual ones, each with its time after the arrival. */
  readonly events?: ReadonlyArray<readonly [number, string, Record<string, unknown>]>
}

function logLines ({ id, second = 0, outcome, reason = '', milliseconds = 400, events = [] }: JobLines): string[] {
  const task = `${id}.0.0.0`
  const answered = { job: id, route: 'loans', outcome, reason, milliseconds, objective: 300 }
  const all: ReadonlyArray<readonly [number, string, Record<string, unknown>]> = [
    [0, 'job received', { job: id, route: 'loans', tasks: 1 }],
    ...events.map(([at, event, fields]) => [at, event, { job: id, task, ...fields }] as const),
    ...(outcome === undefined ? [] : [[milliseconds, 'job answered', answered] as const])
  ]
  return all.map(([at, message, fields]) => JSON.stringify({
    time: new Date(START + 1_000 * second + at).toISOString(), level: 'info', message, role: 'entry', vm: 'vm', ...fields
  }))
}

/** Lines of a completed run: when it was sent, ordered, and ended, and how long it waited at its agent. */
function run (sent: number, ordered: number, ended: number, waited = 0): JobLines['events'] {
  return [
    [sent, 'job sent', {}],
    [ordered, 'run ordered', { waited }],
    [ended, 'run ended', { outcome: 'done', milliseconds: ended - ordered }]
  ]
}

const SERVED = logLines({ id: 'served', outcome: 'completed', milliseconds: 210, events: run(0, 5, 205) })

it.each<[LossCause, Omit<JobLines, 'id'>]>([
  ['no-capacity', { outcome: 'refused', reason: 'no capacity within its objective' }],
  ['held', { outcome: 'refused', reason: 'deadline' }],
  ['overloaded', { outcome: 'refused', reason: 'this entry is overloaded' }],
  ['no-upstream', { outcome: 'refused', reason: 'all failure domains are evacuated' }],
  ['released', { outcome: 'given-up', reason: 'no capacity within its objective', events: [[80, 'task waits again', { reason: 'not-started no-room' }]] }],
  ['crashing-task', { outcome: 'failed', events: [[50, 'run ended', { outcome: 'lost' }], [60, 'task crashes its upstreams', {}]] }],
  ['lost-run', { outcome: 'completed', events: [[50, 'run ended', { outcome: 'lost' }], ...run(60, 65, 390) ?? []] }],
  ['silent-agent', { outcome: 'completed', events: [[50, 'task waits again', { reason: 'agent silent' }]] }],
  ['stalled-run', { outcome: 'completed', events: [[50, 'run stands still', {}]] }],
  ['failed-run', { outcome: 'failed', events: [[50, 'run ended', { outcome: 'failed' }]] }],
  ['sent-back', { outcome: 'completed', events: [[50, 'task waits again', { reason: 'not-started no-room' }], ...run(60, 65, 390) ?? []] }],
  ['queue', { outcome: 'completed', events: run(120, 125, 395) }],
  ['queue', { outcome: 'completed', events: run(1, 125, 395, 120) }],
  ['order', { outcome: 'completed', events: run(1, 125, 395) }],
  ['run', { outcome: 'completed', events: run(1, 5, 395) }],
  ['report', { outcome: 'completed', events: run(1, 5, 205) }],
  ['caller-left', { outcome: 'given-up', reason: 'the caller left' }],
  ['unanswered', {}],
  ['unexplained', { outcome: 'completed' }]
])('finds the cause %s', (cause, job) => {
  const report = reportLosses([...SERVED, ...logLines({ id: 'lost', ...job })].toReversed(), { intervalSeconds: 2 })
  expect(report).toMatchObject({ jobs: 2, lost: 1, malformedLines: 0 })
  expect(report.causes[0]).toMatchObject({ cause, jobs: 1, share: 1, examples: ['lost'] })
})

it('adds up to all lost jobs by cause, route and time, weighted by route', () => {
  const refused = { outcome: 'refused', reason: 'no capacity within its objective' }
  const excess = (fitting: number): JobLines['events'] =>
    [[1, 'job refused: no capacity', { route: 'loans', tasks: 2, excess: 10 * fitting, fitting }]]
  const other = logLines({ id: 'other', outcome: 'given-up', reason: 'the caller left' })
    .map(line => line.replaceAll('"loans"', '"scans"'))
  const report = reportLosses([
    ...SERVED, ...other,
    ...logLines({ id: 'first', ...refused, events: excess(1) }),
    ...logLines({ id: 'second', second: 3, ...refused, events: excess(2) })
  ], { intervalSeconds: 2, weights: new Map([['scans', 6]]) })
  expect(report.causes).toEqual([
    { cause: 'no-capacity', jobs: 2, share: 0.25, examples: ['first', 'second'], medianExcess: 20, fitting: 1 },
    { cause: 'caller-left', jobs: 1, share: 0.75, examples: ['other'] },
    { cause: 'unexplained', jobs: 0, share: 0, examples: [] }
  ])
  expect(report.routes.map(({ group, jobs, lost }) => [group, jobs, lost])).toEqual([['loans', 3, 2], ['scans', 1, 1]])
  expect(report.intervals.map(({ group, jobs, lost }) => [group, jobs, lost])).toEqual([['0', 3, 2], ['2', 1, 1]])
})

it('reports cut and malformed lines and dropped ones, and goes on', () => {
  const dropped = JSON.stringify({
    time: '2026-01-26T07:37:43Z', message: 'log lines dropped', vm: 'vm', ordinary: 3, essential: 1
  })
  const lines = [...SERVED, SERVED[0]?.slice(0, 40) ?? '', '{"message":"job answered"}', 'no log line', '{}', dropped]
  const report = reportLosses(lines, { intervalSeconds: 2 })
  expect(report).toMatchObject({ jobs: 1, lost: 0, malformedLines: 3, droppedLines: 4 })
})

it('is a command with text, JSON and exit codes', async () => {
  const folder = mkdtempSync(join(tmpdir(), 'loss-report-'))
  try {
    writeFileSync(join(folder, 'entry.log'), [...SERVED, ...logLines({ id: 'lost', outcome: 'refused', reason: 'deadline' })].join('\n'))
    const text = await runCommand(['report', 'loss', folder])
    expect(text).toMatchObject({ code: 0, errors: '' })
    expect(text.output).toContain('1 of 2 jobs were not served')
    const json = await runCommand(['report', 'loss', folder, '--json', '--weight', 'loans=2'])
    expect(JSON.parse(json.output)).toMatchObject({ jobs: 2, lost: 1, causes: [{ cause: 'held' }, { cause: 'unexplained' }] })
    expect((await runCommand(['report', 'loss', folder, '--weight', 'loans'])).code).toBe(2)
    writeFileSync(join(folder, 'entry.log'), 'nothing')
    expect((await runCommand(['report', 'loss', folder])).code).toBe(5)
  } finally {
    rmSync(folder, { recursive: true })
  }
}, 60_000)
