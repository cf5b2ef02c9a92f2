import { describe, expect, it } from 'vitest'
import { renderLogWalk, walkLogs, type LogCauseKind } from '@baobabpost/command-line'

const JOB = '5c0e7a21d94b36f8'
const START = Date.parse('2026-01-26T07:37:43.000Z')
const INSTANT = '2026-01-26 07:37:43.000'

function line (after: number, vm: string, message: string, fields: Record<string, unknown>): string {
  return JSON.stringify({ time: new Date(START + after).toISOString(), level: 'info', message, role: 'entry', vm, ...fields })
}

const RECEIVED = line(0, 'front-1', 'job received', { job: JOB, route: 'loans', tasks: 2 })
const SENT = line(2, 'front-1', 'job sent', { job: JOB, agent: 'side-1', tasks: 2, patience: 0, late: false, heardAgo: 12 })
const SENT_LATE = line(90, 'front-1', 'job sent', { job: JOB, agent: 'side-1', tasks: 2, patience: 0, late: true, heardAgo: 12 })

function answered (after: number, outcome: string, reason = ''): string {
  return line(after, 'front-1', 'job answered', { job: JOB, route: 'loans', outcome, reason, milliseconds: after, objective: 300 })
}

function ended (outcome: string, reason = ''): string {
  return line(200, 'side-1', 'run ended', { task: `${JOB}.0.0.1`, run: 1, entry: 'front-1', outcome, reason, milliseconds: 190 })
}

function again (reason: string): string {
  return line(210, 'front-1', 'task waits again', { task: `${JOB}.0.0.1`, run: 1, reason, left: 900 })
}

describe('the cause of a job in the logs', () => {
  it.each<[LogCauseKind, string[], string]>([
    ['in-time', [RECEIVED, SENT, ended('done'), answered(250, 'completed')], '250 ms of 300 ms'],
    ['refused', [RECEIVED, answered(86, 'refused', 'no room within its objective')], 'no room within its objective'],
    ['lost-run', [RECEIVED, SENT, ended('lost', 'nothing listens at the upstream'), answered(900, 'completed')], 'lost at side-1'],
    ['silent-agent', [RECEIVED, SENT, again('agent silent'), answered(900, 'completed')], 'given up by front-1: agent silent'],
    ['standing-still', [
      RECEIVED, SENT, line(400, 'side-1', 'run stands still', { task: `${JOB}.0.0.0`, run: 1, percent: 54, milliseconds: 413 }),
      answered(900, 'completed')
    ], 'stood still at side-1'],
    ['failing-runs', [RECEIVED, SENT, ended('failed'), answered(400, 'failed')], 'failed at side-1'],
    ['no-room', [RECEIVED, SENT_LATE, answered(400, 'completed')], 'waited 90 ms'],
    ['no-room', [RECEIVED, SENT, again('not-started no-room'), answered(400, 'given-up', 'deadline')], '1 of its runs'],
    ['slow-runs', [RECEIVED, SENT, ended('done'), answered(400, 'completed')], 'longer than was expected'],
    ['caller', [RECEIVED, SENT, answered(100, 'given-up', 'the caller left')], 'the caller left'],
    ['unanswered', [RECEIVED, SENT], "'job sent' at front-1"]
  ])('is %s', (kind, lines, detail) => {
    const walk = walkLogs(lines.toReversed(), JOB)
    expect(walk?.cause.kind).toBe(kind)
    expect(walk?.cause.detail).toContain(detail)
  })

  it('takes lines with something before them, and no others', () => {
    const other = answered(100, 'refused', 'no room').replaceAll(JOB, '00000000000000aa')
    const unread = [other, `${JOB} {"time":`, `{"message":"another","job":"${JOB}"}`, `{"message":"job answered","job":"x","note":"${JOB}"}`]
    const walk = walkLogs([...unread, `   0.0708 front-1 ${RECEIVED}`], JOB)
    expect(walk?.steps).toMatchObject([{ at: START, vm: 'front-1', event: 'job received', fields: { route: 'loans' } }])
    expect(walkLogs(unread, JOB)).toBeUndefined()
  })

  it('is written after the steps in order of their time', () => {
    const walk = walkLogs([answered(900, 'completed'), ended('lost', 'gone'), RECEIVED, SENT], JOB)
    const text = walk === undefined ? '' : renderLogWalk(walk, Infinity).split('\n')
    expect(text[0]).toBe(`job ${JOB}, first line at ${INSTANT} UTC`)
    expect(text[2]).toMatch(/\+0 ms +front-1 +job received +route loans, tasks 2/)
    expect(text[4]).toMatch(/\+200 ms +side-1 +run ended +task 0\.0\.1, run 1, entry front-1, outcome lost, reason gone/)
    expect(text.at(-1)).toBe('cause: lost-run, 1 runs lost at side-1: gone')
  })
})
