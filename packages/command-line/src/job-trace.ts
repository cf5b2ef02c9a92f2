/** Finds the log lines of a job and derives the cause of its outcome from them. */
import { compareLogLines } from '@baobabpost/common'
import { CALLER_REASONS } from './loss-causes.js'
import { jobOf, parseLogLine, type LogStep } from './parse-log-line.js'

/**
 * Cause of the outcome of a job.
 *
 * - `in-time`: the job completed within its objective;
 * - `refused`: the job was refused, and none of its tasks ran;
 * - `crashing-task`: upstreams crashed under a task of the job;
 * - `lost-run`: runs were lost at the upstream;
 * - `silent-agent`: an agent did not answer or restarted;
 * - `standing-still`: runs stalled and were stopped;
 * - `failing-runs`: runs failed at the upstream;
 * - `no-room`: the job waited for free capacity;
 * - `slow-runs`: the runs took longer than expected;
 * - `caller`: the caller disconnected, cancelled the job or sent it again;
 * - `unanswered`: no entry logged an answer.
 */
export type JobCauseKind =
  | 'in-time' | 'refused' | 'crashing-task' | 'lost-run' | 'silent-agent' | 'standing-still' | 'failing-runs' | 'no-room'
  | 'slow-runs' | 'caller' | 'unanswered'

/** Cause of the outcome of a job, with the VMs and reasons from the log lines. */
export interface JobCause {
  readonly kind: JobCauseKind
  readonly detail: string
}

/** Log lines of a job in order of time, and the cause of its outcome. */
export interface JobTrace {
  readonly job: string
  readonly steps: readonly LogStep[]
  readonly cause: JobCause
}

function listVms (steps: readonly LogStep[]): string {
  return [...new Set(steps.map(({ vm }) => vm))].join(', ')
}

/** Finds a fault of the runs of a job that was late or not completed; the most significant fault is returned. */
function findRunCause (steps: readonly LogStep[]): JobCause | undefined {
  const crashing = steps.find(({ event }) => event === 'task crashes its upstreams')
  if (crashing !== undefined) {
    const { task, crashes } = crashing.fields
    return { kind: 'crashing-task', detail: `${String(crashes)} upstreams crashed under ${String(task)}` }
  }
  const lost = steps.filter(({ event, fields }) => event === 'run ended' && fields['outcome'] === 'lost')
  const stalled = steps.filter(({ event }) => event === 'run stands still')
  const unresponsive = steps.filter(({ event, fields }) =>
    event === 'task waits again' && /^agent (?:silent|restarted)/.test(String(fields['reason'])))
  const failed = steps.filter(({ event, fields }) => event === 'run ended' && fields['outcome'] === 'failed')
  if (lost.length > 0) {
    return { kind: 'lost-run', detail: `${lost.length} runs lost at ${listVms(lost)}: ${String(lost[0]?.fields['reason'])}` }
  }
  if (unresponsive.length > 0) {
    return { kind: 'silent-agent', detail: `${unresponsive.length} runs given up by ${listVms(unresponsive)}: ${String(unresponsive[0]?.fields['reason'])}` }
  }
  if (stalled.length > 0) return { kind: 'standing-still', detail: `${stalled.length} runs stood still at ${listVms(stalled)}` }
  if (failed.length > 0) return { kind: 'failing-runs', detail: `${failed.length} runs failed at ${listVms(failed)}` }
  return undefined
}

/** Returns whether a job without a fault of its runs was delayed by waiting for free capacity or by slow runs. */
function findWaitCause (steps: readonly LogStep[], answer: LogStep): JobCause {
  const sent = steps.find(({ event }) => event === 'job sent')
  const received = steps.find(({ event }) => event === 'job received')
  const refusals = steps.filter(({ event, fields }) =>
    event === 'task waits again' && String(fields['reason']).includes('no-room')).length
  const waitedMilliseconds = (sent?.at ?? answer.at) - (received?.at ?? answer.at)
  const isLate = sent === undefined || sent.fields['late'] === true
  if (isLate || refusals > 0) {
    return { kind: 'no-room', detail: `it waited ${waitedMilliseconds} ms at the entry, and ${refusals} of its runs found no room` }
  }
  return { kind: 'slow-runs', detail: 'nothing was lost and there was room: its runs took longer than was expected' }
}

function findCause (steps: readonly LogStep[]): JobCause {
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
 * Finds the log lines of a job and the cause of its outcome.
 *
 * @param lines - Log lines of the entries and agents, in any order.
 * @param job - Id of the job, chosen by its caller.
 * @returns `undefined` if no line belongs to the job.
 * @example
 * traceJob(readLogLines('logs'), '5c0e7a21d94b36f8')?.cause // { kind: 'lost-run', detail: '1 runs lost at side-1: …' }
 */
export function traceJob (lines: Iterable<string>, job: string): JobTrace | undefined {
  const steps: LogStep[] = []
  for (const line of lines) {
    const step = line.includes(job) ? parseLogLine(line) : undefined
    if (step !== undefined && jobOf(step) === job) steps.push(step)
  }
  if (steps.length === 0) return undefined
  steps.sort(compareLogLines)
  return { job, steps, cause: findCause(steps) }
}
