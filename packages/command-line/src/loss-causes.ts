/** Causes for which jobs were not served within their objective, from their log lines. */
import type { LogStep } from './parse-log-line.js'

/** Causes of a loss with their meanings, in the order of the report. */
export const LOSS_CAUSES = {
  'no-capacity': 'refused: the wait for capacity exceeds the objective',
  held: 'refused after it waited for capacity, without having run',
  overloaded: 'refused: the entry itself was overloaded',
  'no-upstream': 'refused: no upstream may run it (evacuated, too small, without the required label, or a confined route)',
  released: 'given up: a part of its tasks found no capacity in time',
  configuration: 'refused: its options are not supported',
  'crashing-task': 'a task of it crashes its upstreams',
  'lost-run': 'a run was lost with its upstream',
  'silent-agent': 'an agent did not answer, or was restarted',
  'stalled-run': 'a run stalled and was stopped',
  'failed-run': 'a run failed at its upstream',
  'sent-back': 'an agent sent tasks back that had not started',
  queue: 'late: mostly the wait at the entry and in the queue of the agent',
  order: 'late: mostly the way of the order to the upstream',
  run: 'late: mostly a run that took longer than is usual on its route',
  report: 'late: mostly the way of the end of the run to the caller',
  'caller-left': 'the caller disconnected, cancelled the job or sent it again',
  unanswered: 'no entry logged an answer',
  unexplained: 'the log lines do not show why'
} as const

export type LossCause = keyof typeof LOSS_CAUSES

/** Reasons in the final answer of a job that its caller abandoned. */
export const CALLER_REASONS: ReadonlySet<unknown> = new Set(['the caller left', 'cancelled', 'sent again'])

const CAUSES_OF_REFUSALS: Readonly<Record<string, LossCause>> = {
  'no capacity within its objective': 'no-capacity',
  'no room within its objective': 'held',
  'no room before its deadline': 'held',
  'no room while an answer is of use': 'held',
  deadline: 'held',
  'this entry is overloaded': 'overloaded',
  'all failure domains are evacuated': 'no-upstream',
  'no upstream of its service has the required label': 'no-upstream',
  'no upstream of its service is large enough': 'no-upstream',
  'tasks of its route crash their upstreams': 'no-upstream'
}

/** Whether a job was completed within its objective. */
export function isServed ({ fields }: LogStep): boolean {
  return fields['outcome'] === 'completed' && Number(fields['milliseconds']) <= Number(fields['objective'])
}

function findFaultOfRuns (steps: readonly LogStep[]): LossCause | undefined {
  const has = (event: string, isWanted: (fields: LogStep['fields']) => boolean = () => true): boolean =>
    steps.some(step => step.event === event && isWanted(step.fields))
  const waitsAgain = (pattern: RegExp): boolean =>
    has('task waits again', ({ reason }) => pattern.test(String(reason)))
  if (has('task crashes its upstreams')) return 'crashing-task'
  if (has('run ended', ({ outcome }) => outcome === 'lost') || waitsAgain(/^lost/)) return 'lost-run'
  if (waitsAgain(/^agent (?:silent|restarted)/)) return 'silent-agent'
  if (has('run stands still')) return 'stalled-run'
  if (has('run ended', ({ outcome }) => outcome === 'failed') || waitsAgain(/^failed/)) return 'failed-run'
  if (has('task waits again')) return 'sent-back'
  return undefined
}

/**
 * Returns the part of a late job's time that exceeds the usual the most, following the task that ended last.
 *
 * @param usualRunMilliseconds - Usual run time on the job's route.
 */
function findLongestPart (
  steps: readonly LogStep[], answer: LogStep, usualRunMilliseconds: number
): LossCause {
  const received = steps.find(({ event }) => event === 'job received')
  const ended = steps.findLast(({ event }) => event === 'run ended')
  const ordered = steps.findLast(({ event, fields }) => event === 'run ordered' && fields['task'] === ended?.fields['task'])
  const sent = steps.findLast(({ event, at }) => event === 'job sent' && at <= (ordered?.at ?? 0))
  if (received === undefined || ended === undefined || ordered === undefined || sent === undefined) return 'unexplained'
  const waited = Number(ordered.fields['waited'])
  const parts: ReadonlyArray<readonly [LossCause, number]> = [
    ['queue', sent.at - received.at + waited],
    ['order', ordered.at - sent.at - waited],
    ['run', Number(ended.fields['milliseconds']) - usualRunMilliseconds],
    ['report', answer.at - ended.at]
  ]
  let longest: LossCause = 'unexplained'
  let excess = 0
  for (const [cause, milliseconds] of parts) {
    if (milliseconds <= excess) continue
    longest = cause
    excess = milliseconds
  }
  return longest
}

/**
 * Returns why a job was not served within its objective.
 *
 * @param steps - All log lines of the job in order of time.
 * @param usualRunMilliseconds - Usual run time on the job's route.
 * @example
 * findLossCause(steps, 220) // 'sent-back'
 */
export function findLossCause (steps: readonly LogStep[], usualRunMilliseconds: number): LossCause {
  const answer = steps.findLast(({ event }) => event === 'job answered')
  if (answer === undefined) {
    return steps.some(({ event }) => event === 'job refused: not supported') ? 'configuration' : 'unanswered'
  }
  const { outcome, reason } = answer.fields
  if (CALLER_REASONS.has(reason)) return 'caller-left'
  if (outcome === 'refused') return CAUSES_OF_REFUSALS[String(reason)] ?? 'unexplained'
  const fault = findFaultOfRuns(steps)
  if (fault !== undefined && fault !== 'sent-back') return fault
  if (outcome === 'given-up' && reason === 'no capacity within its objective') return 'released'
  return fault ?? (outcome === 'completed' ? findLongestPart(steps, answer, usualRunMilliseconds) : 'unexplained')
}
