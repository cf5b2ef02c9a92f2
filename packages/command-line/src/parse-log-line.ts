/** Parses the log lines of entries and agents. */
import { LOG_EVENTS, type LogEvent } from '@baobabpost/common'

/** One log line of an event on the job path. */
export interface LogStep {
  /** Unix time in milliseconds. */
  readonly at: number
  readonly vm: string
  readonly event: LogEvent
  /** Fields of the line besides time, level, message, role and VM. */
  readonly fields: Readonly<Record<string, unknown>>
}

/** Fields of every log line. */
const COMMON_FIELDS: ReadonlySet<string> = new Set(['time', 'level', 'message', 'role', 'vm'])

function isEvent (name: unknown): name is LogEvent {
  return typeof name === 'string' && name in LOG_EVENTS
}

function parseObject (line: string): Record<string, unknown> | undefined {
  // A log collector may have put the time or the VM in front of each line.
  const start = line.indexOf('{')
  if (start < 0) return undefined
  try {
    const value: unknown = JSON.parse(line.slice(start))
    return typeof value === 'object' && value !== null ? value as Record<string, unknown> : undefined
  } catch {
    return undefined
  }
}

/**
 * Parses a log line.
 *
 * @returns `undefined` if the line is not JSON, has no time, or is not of an event on the job path.
 * @example
 * parseLogLine('{"time":"2026-07-02T03:25:30Z","message":"job sent","vm":"entry-1","job":"a"}')?.event // 'job sent'
 */
export function parseLogLine (line: string): LogStep | undefined {
  const parsed = parseObject(line)
  if (parsed === undefined || !isEvent(parsed['message'])) return undefined
  const at = Date.parse(String(parsed['time']))
  if (Number.isNaN(at)) return undefined
  const fields: Record<string, unknown> = {}
  for (const [name, value] of Object.entries(parsed)) {
    if (!COMMON_FIELDS.has(name)) fields[name] = value
  }
  return { at, vm: String(parsed['vm']), event: parsed['message'], fields }
}

/** Returns the id of the job that a log line belongs to, itself or by one of its tasks. */
export function jobOf ({ fields }: LogStep): string | undefined {
  const { job, task } = fields
  if (typeof job === 'string') return job
  return typeof task === 'string' ? task.split('.')[0] : undefined
}
