/** Base class of all commands: connection flags, output, progress, failures and exit codes. */
import { Command, Flags } from '@oclif/core'
import { CommandFailure } from './command-failure.js'
import { createEntryClient, type EntryClient, type EntryClientOptions } from './entry-client.js'
import { EXIT_CODES, type ExitName } from './exit-codes.js'
import { startProgress, type Progress } from './progress.js'
import { formatTable, type TableColumn } from './table.js'

interface ConnectionFlags {
  readonly entry: string
  readonly key: string | undefined
}

/** Error of the argument parser of oclif, with its exit code. */
interface ParserError extends Error {
  readonly oclif?: { readonly exit?: number }
}

function toFailure (error: Error): CommandFailure {
  if (error instanceof CommandFailure) return error
  const isUsage = (error as ParserError).oclif?.exit === EXIT_CODES.usage.code
  if (isUsage) return new CommandFailure({ exit: 'usage', detail: error.message })
  return new CommandFailure({ exit: 'fault', detail: error.stack ?? error.message })
}

/**
 * Base class of all commands. A command sends requests to an entry, writes text with `log`, and returns the value that
 * `--json` prints.
 *
 * @example
 * class FleetStatusCommand extends OperatorCommand {
 *   async run () {
 *     const { flags } = await this.parse(FleetStatusCommand)
 *     return await this.withClient(
 *       flags, 'reading the fleet', client => client.request('GET', '/v1/fleet', FleetStatus))
 *   }
 * }
 */
export abstract class OperatorCommand extends Command {
  static override enableJsonFlag = true

  static override baseFlags = {
    entry: Flags.string({
      summary: 'URL of any entry of the fleet',
      env: 'BAOBABPOST_ENTRY_URL',
      default: 'http://127.0.0.1:8080',
      helpGroup: 'CONNECTION'
    }),
    key: Flags.string({
      summary: 'access key; prefer the environment variable, which other users of the machine can not see',
      env: 'BAOBABPOST_ACCESS_KEY',
      helpGroup: 'CONNECTION',
      noCacheDefault: true
    })
  }

  /** Output width in characters: that of the terminal, else `COLUMNS`, else infinite, as for piped output. */
  protected get outputWidth (): number {
    const fromVariable = Number(process.env.COLUMNS)
    return process.stdout.columns ?? (fromVariable > 0 ? fromVariable : Number.POSITIVE_INFINITY)
  }

  /** Whether the output may be coloured. */
  protected get usesColours (): boolean {
    return process.stdout.isTTY && process.env.NO_COLOR === undefined
  }

  /** Calls `run` with a client of the entry, and shows `activity` and the elapsed time until it is done. */
  protected async withClient<Answer> (
    flags: ConnectionFlags, activity: string, run: (client: EntryClient, progress: Progress) => Promise<Answer>
  ): Promise<Answer> {
    const connection: EntryClientOptions = { url: flags.entry, key: flags.key }
    const progress = startProgress(activity, {
      write: line => { process.stderr.write(line) },
      isTerminal: process.stderr.isTTY
    })
    try {
      return await run(createEntryClient(connection), progress)
    } finally {
      progress.stop()
    }
  }

  protected logTable (columns: readonly TableColumn[], rows: ReadonlyArray<readonly string[]>): void {
    this.log(formatTable(columns, rows, this.outputWidth))
  }

  /** Sets the exit code of the process without ending it. */
  protected setExitCode (exit: ExitName): void {
    process.exitCode = EXIT_CODES[exit].code
  }

  protected override catch (error: Error): Promise<unknown> {
    const failure = toFailure(error)
    this.setExitCode(failure.exit)
    const { exit, detail, next, problem } = failure
    if (this.jsonEnabled()) {
      this.logJson({ error: { exit, exitCode: EXIT_CODES[exit].code, detail, next, problem } })
    } else {
      this.logToStderr(`${this.config.bin}: ${detail}`)
      if (next !== undefined) this.logToStderr(next)
      if (exit === 'usage') this.logToStderr(`See: ${this.config.bin} ${(this.id ?? '').replaceAll(':', ' ')} --help`)
    }
    return Promise.resolve()
  }
}
