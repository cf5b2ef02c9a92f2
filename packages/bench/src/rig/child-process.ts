/** A process of the system, started by the rig, with its use of processor and memory. */
import { type ChildProcess, spawn, type StdioOptions } from 'node:child_process'
import { createRequire } from 'node:module'
import { readFileSync } from 'node:fs'
import { dirname, join } from 'node:path'

const MILLISECONDS_PER_TICK = 10
const USER_TIME_FIELD = 11
const SYSTEM_TIME_FIELD = 12
const STOP_MILLISECONDS = 15_000

/** Role of a process. */
export type ProcessRole = 'entry' | 'agent' | 'stand-in-platform' | 'stand-in-upstream'

const living = new Set<ChildProcess>()

/** Kills all processes that this module started and that live. */
export function killProcesses (): void {
  for (const child of living) child.kill('SIGKILL')
}

/** A started process. */
export interface RunningProcess {
  readonly role: ProcessRole
  readonly name: string
  /** Processor time since the start, milliseconds. */
  processorMilliseconds: () => number
  /** Greatest resident memory, bytes. */
  peakBytes: () => number
  /** Whether it ended, by itself or not. */
  ended: () => boolean
  /** Last lines that it wrote to its standard error. */
  lastErrors: () => string
  /** Planned stop; a process that does not end is killed. */
  stop: () => Promise<void>
  /** Death without notice. */
  kill: () => void
}

function mainFile (role: ProcessRole): string {
  const index = createRequire(import.meta.url).resolve(`@baobabpost/${role}`)
  return join(dirname(index), 'main.js')
}

function readProcessorMilliseconds (identifier: number): number {
  const text = readFileSync(`/proc/${identifier}/stat`, 'utf8')
  // Fields follow the command in brackets, which may hold blanks.
  const fields = text.slice(text.lastIndexOf(')') + 2).split(' ')
  return (Number(fields[USER_TIME_FIELD]) + Number(fields[SYSTEM_TIME_FIELD])) * MILLISECONDS_PER_TICK
}

function readPeakBytes (identifier: number): number {
  const found = /VmHWM:\s+(\d+) kB/.exec(readFileSync(`/proc/${identifier}/status`, 'utf8'))
  return Number(found?.[1] ?? 0) * 1_024
}

/** Reads a figure of a process, or gives the last known one once the process is gone. */
function keepLast (read: () => number): () => number {
  let last = 0
  return () => {
    try {
      last = read()
    } catch {
      // The process is gone.
    }
    return last
  }
}

/**
 * Starts a process of the system, with the flags of Node that the bench itself was started with, such as a profiler's.
 *
 * @param settings - Flags without the dashes, with their values.
 * @example
 * const entry = startProcess('entry', 'entry-1', { name: 'entry-1', 'failure-domain': 'domain-1' })
 */
export function startProcess (
  role: ProcessRole, name: string, settings: Record<string, string | number>
): RunningProcess {
  const flags = Object.entries(settings).flatMap(([flag, value]) => [`--${flag}`, String(value)])
  const stdio: StdioOptions = ['ignore', 'ignore', 'pipe']
  const child: ChildProcess = spawn(process.execPath, [...process.execArgv, mainFile(role), ...flags], { stdio })
  living.add(child)
  const identifier = child.pid ?? 0
  let errors = ''
  let ended = false
  child.stderr?.on('data', (chunk: Buffer) => { errors = (errors + chunk.toString()).slice(-2_000) })
  const end = new Promise<void>(resolve => {
    child.once('exit', () => {
      ended = true
      living.delete(child)
      resolve()
    })
  })
  return {
    role,
    name,
    processorMilliseconds: keepLast(() => readProcessorMilliseconds(identifier)),
    peakBytes: keepLast(() => readPeakBytes(identifier)),
    ended: () => ended,
    lastErrors: () => errors,
    async stop () {
      if (ended) return
      child.kill('SIGTERM')
      const timer = setTimeout(() => { child.kill('SIGKILL') }, STOP_MILLISECONDS)
      await end
      clearTimeout(timer)
    },
    kill () { child.kill('SIGKILL') }
  }
}
