/** Starts the processes of a fleet as child processes and reads their processor time and memory. */
import { type ChildProcess, spawn, type StdioOptions } from 'node:child_process'
import { createRequire } from 'node:module'
import { readFileSync } from 'node:fs'
import { dirname, join } from 'node:path'

const MILLISECONDS_PER_CLOCK_TICK = 10
const USER_TIME_FIELD = 11
const SYSTEM_TIME_FIELD = 12
const STOP_TIMEOUT_MILLISECONDS = 15_000

export type ProcessRole = 'entry' | 'agent' | 'stand-in-platform' | 'stand-in-upstream'

const liveProcesses = new Set<ChildProcess>()

/** Kills all running processes that this module started. */
export function killProcesses (): void {
  for (const child of liveProcesses) child.kill('SIGKILL')
}

export interface RunningProcess {
  readonly role: ProcessRole
  readonly name: string
  /** Returns the processor time since the start, in milliseconds. */
  processorMilliseconds: () => number
  /** Returns the peak resident memory, in bytes. */
  peakBytes: () => number
  /** Whether the process has exited, for any reason. */
  hasEnded: () => boolean
  /** Returns the last 2000 characters of the process's standard error. */
  lastErrors: () => string
  /** Shuts the process down with SIGTERM, and kills it if it has not exited after 15 s. */
  stop: () => Promise<void>
  /** Kills the process with SIGKILL. */
  kill: () => void
}

function resolveMainFile (role: ProcessRole): string {
  const index = createRequire(import.meta.url).resolve(`@baobabpost/${role}`)
  return join(dirname(index), 'main.js')
}

function readProcessorMilliseconds (processId: number): number {
  const text = readFileSync(`/proc/${processId}/stat`, 'utf8')
  // The fields follow the command name, which is in parentheses and may contain spaces.
  const fields = text.slice(text.lastIndexOf(')') + 2).split(' ')
  return (Number(fields[USER_TIME_FIELD]) + Number(fields[SYSTEM_TIME_FIELD])) * MILLISECONDS_PER_CLOCK_TICK
}

function readPeakBytes (processId: number): number {
  const found = /VmHWM:\s+(\d+) kB/.exec(readFileSync(`/proc/${processId}/status`, 'utf8'))
  return Number(found?.[1] ?? 0) * 1_024
}

/** Wraps a reader so that it returns the last value read once the process has exited. */
function keepLastValue (read: () => number): () => number {
  let last = 0
  return () => {
    try {
      last = read()
    } catch {
      // The process has exited.
    }
    return last
  }
}

/**
 * Starts a process of the fleet with the Node flags of the bench itself, such as those of a profiler.
 *
 * @param settings - Values by flag name without the leading dashes.
 * @example
 * const entry = startProcess('entry', 'entry-1', { name: 'entry-1', 'failure-domain': 'domain-1' })
 */
export function startProcess (
  role: ProcessRole, name: string, settings: Record<string, string | number>
): RunningProcess {
  const flags = Object.entries(settings).flatMap(([flag, value]) => [`--${flag}`, String(value)])
  const stdio: StdioOptions = ['ignore', 'ignore', 'pipe']
  const child: ChildProcess = spawn(process.execPath, [...process.execArgv, resolveMainFile(role), ...flags], { stdio })
  liveProcesses.add(child)
  const processId = child.pid ?? 0
  let errors = ''
  let hasEnded = false
  child.stderr?.on('data', (chunk: Buffer) => { errors = (errors + chunk.toString()).slice(-2_000) })
  const exit = new Promise<void>(resolve => {
    child.once('exit', () => {
      hasEnded = true
      liveProcesses.delete(child)
      resolve()
    })
  })
  return {
    role,
    name,
    processorMilliseconds: keepLastValue(() => readProcessorMilliseconds(processId)),
    peakBytes: keepLastValue(() => readPeakBytes(processId)),
    hasEnded: () => hasEnded,
    lastErrors: () => errors,
    async stop () {
      if (hasEnded) return
      child.kill('SIGTERM')
      const timer = setTimeout(() => { child.kill('SIGKILL') }, STOP_TIMEOUT_MILLISECONDS)
      await exit
      clearTimeout(timer)
    },
    kill () { child.kill('SIGKILL') }
  }
}
