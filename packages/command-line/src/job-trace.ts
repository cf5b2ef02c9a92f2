/** Finds what happened to a job in the log lines of a fleet, and why. */
import { LOG_EVENTS, type LogEvent } from '@baobabpost/common'

/** One line of a job. */
export interface LogStep {
  /** Unix milliseconds. */
  readonly at: number
  readonly vm: string
  readonly event: LogEvent
  /** Fields of the event, by name. */
  readonly fields: Readonly<Record<string, unknown>>
}

/**
 * Why a job ended as it did.
 *
 * - `in-time`: nothing went wrong;
 * - `refused`: nothing of it ran;
 * - `lost-run`, `silent-agent`, `standing-still`, `failing-runs`: what went wrong with its runs;
 * - `no-room`: it waited for room;
 * - `slow-runs`: the runs took longer than was expected;
 * - `caller`: its caller left, cancelled it, or sent it again;
 * - `unanswered`: no entry logged an answer.
 */
export type LogCauseKind =
  | 'in-time' | 'refused' | 'lost-run' | 'silent-agent' | 'standing-still' | 'failing-runs' | 'no-room' | 'slow-runs'
  | 'caller' | 'unanswered'

/** The cause, with the VMs and reasons that the lines name. */
export interface LogCause {
  readonly kind: LogCauseKind
  readonly detail: string
}

/** A job as the logs tell it. */
export interface LogWalk {
  readonly job: string
  readonly steps: readonly LogStep[]
  readonly cause: LogCause
}

const COMMON_FIELDS: ReadonlySet<string> = new Set(['time', 'level', 'message', 'role', 'vm'])
/** Reasons with which an entry ends a job that its caller no longer waits for. */
const CALLER_REASONS: ReadonlySet<unknown> = new Set(['the caller left', 'cancelled', 'sent again'])

function isEvent (name: unknown): name is LogEvent {
  return typeof name === 'string' && name in LOG_EVENTS
}

/** Whether an object of a line names the job, or a task of it. */
function isOfJob (line: Readonly<Record<string, unknown>>, job: string): boolean {
  return line['job'] === job || (typeof line['task'] === 'string' && line['task'].startsWith(`${job}.`))
}

function parseLine (line: string): Record<string, unknown> | undefined {
  // What collects the lines may have put the time or the VM before each.
  const start = line.indexOf('{')
  if (start < 0) return undefined
  try {
    const value: unknown = JSON.parse(line.slice(start))
    return typeof value === 'object' && value !== null ? value as Record<string, unknown> : undefined
  } catch {
    return undefined
  }
}

function readStep (line: string, job: string): LogStep | undefined {
  if (!line.includes(job)) return undefined
  const parsed = parseLine(line)
  if (parsed === undefined || !isOfJob(parsed, job) || !isEvent(parsed['message'])) return undefined
  const fields: Record<string, unknown> = {}
  for (const [name, value] of Object.entries(parsed)) {
    if (!COMMON_FIELDS.has(name)) fields[name] = value
  }
  return { at: Date.parse(String(parsed['time'])), vm: String(parsed['vm']), event: parsed['message'], fields }
}

function namesOf (steps: readonly LogStep[]): string {
  return [...new Set(steps.map(({ vm }) => vm))].join(', ')
}

/** What went wrong with the runs of a job that was late or not done; the first that fits explains most. */
function findRunCause (steps: readonly LogStep[]): LogCause | undefined {
  const lost = steps.filter(({ event, fields }) => event === 'run ended' && fields['outcome'] === 'lost')
  const still = steps.filter(({ event }) => event === 'run stands still')
  const silent = steps.filter(({ event, fields }) =>
    event === 'task waits again' && /^agent (?:silent|restarted)/.test(String(fields['reason'])))
  const failed = steps.filter(({ event, fields }) => event === 'run ended' && fields['outcome'] === 'failed')
  if (lost.length > 0) {
    return { kind: 'lost-run', detail: `${lost.length} runs lost at ${namesOf(lost)}: ${String(lost[0]?.fields['reason'])}` }
  }
  if (silent.length > 0) {
    return { kind: 'silent-agent', detail: `${silent.length} runs given up by ${namesOf(silent)}: ${String(silent[0]?.fields['reason'])}` }
  }
  if (still.length > 0) return { kind: 'standing-still', detail: `${still.length} runs stood still at ${namesOf(still)}` }
  if (failed.length > 0) return { kind: 'failing-runs', detail: `${failed.length} runs failed at ${namesOf(failed)}` }
  return undefined
}

function findWaitCause (steps: readonly LogStep[], answer: LogStep): LogCause {
  const sent = steps.find(({ event }) => event === 'job sent')
  const received = steps.find(({ event }) => event === 'job received')
  const refusals = steps.filter(({ event, fields }) =>
    event === 'task waits again' && String(fields['reason']).includes('no-room')).length
  const waited = (sent?.at ?? answer.at) - (received?.at ?? answer.at)
  const late = sent === undefined || sent.fields['late'] === true
  if (late || refusals > 0) {
    return { kind: 'no-room', detail: `it waited ${waited} ms at the entry, and ${refusals} of its runs found no room` }
  }
  return { kind: 'slow-runs', detail: 'nothing was lost and there was room: its runs took longer than was expected' }
}

function findCause (steps: readonly LogStep[]): LogCause {
  const answer = steps.findLast(({ event }) => event === 'job answered')
  if (answer === undefined) {
    const last = steps.at(-1)
    return { kind: 'unanswered', detail: `no entry logged an answer; the last line is '${last?.event ?? ''}' at ${last?.vm ?? 'no VM'}` }
  }
  const { outcome, reason, milliseconds, objective } = answer.fields
  if (outcome === 'refused') return { kind: 'refused', detail: `nothing of it ran: ${String(reason)}` }
  if (CALLER_REASONS.has(reason)) return { kind: 'caller', detail: String(reason) }
  if (outcome === 'completed' && Number(milliseconds) <= Number(objective)) {
    return { kind: 'in-time', detail: `${String(milliseconds)} ms of ${String(objective)} ms` }
  }
  return findRunCause(steps) ?? findWaitCause(steps, answer)
}

/**
 * Finds the lines of a job and the cause of its end.
 *
 * @param lines - Log lines of the entries and agents, in any order.
 * @param job - Id of the job, as its caller chose it.
 * @returns undefined if no line names the job.
 * @example
 * walkLogs(readLogLines('logs'), '5c0e7a21d94b36f8')?.cause // { kind: 'lost-run', detail: '1 runs lost at side-1: …' }
 */
export function walkLogs (lines: Iterable<string>, job: string): LogWalk | undefined {
  const steps: LogStep[] = []
  for (const line of lines) {
    const step = readStep(line, job)
    if (step !== undefined) steps.push(step)
  }
  if (steps.length === 0) return undefined
  steps.sort((left, right) => left.at - right.at)
  return { job, steps, cause: findCause(steps) }
}
