/** What all commands have in common: flags, output, progress, failures and exit codes. */
import { Command, Flags } from '@oclif/core'
import { CommandFailure } from './command-failure.js'
import { createEntryClient, type EntryClient, type EntryClientOptions } from './entry-client.js'
import { EXIT_CODES, type ExitName } from './exit-codes.js'
import { startProgress, type Progress } from './progress.js'
import { formatTable, type TableColumn } from './table.js'

/** Flags that every command has. */
interface ConnectionFlags {
  readonly entry: string
  readonly key: string | undefined
}

/** An error of oclif's parser carries its exit code here. */
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
 * Base of every command. A command asks an entry, writes text with `log`, and gives back what `--json` prints.
 *
 * @example
 * class FleetStatusCommand extends OperatorCommand {
 *   async run () {
 *     const { flags } = await this.parse(FleetStatusCommand)
 *     return await this.asking(flags, 'asking for the fleet', client => client.ask('GET', '/v1/fleet', FleetStatus))
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
      summary: 'access key; better given as the variable, which other users of the machine can not see',
      env: 'BAOBABPOST_ACCESS_KEY',
      helpGroup: 'CONNECTION',
      noCacheDefault: true
    })
  }

  /** Width for tables: that of the terminal, of `COLUMNS`, or without bound where the output is piped. */
  protected get columns (): number {
    const fromVariable = Number(process.env.COLUMNS)
    return process.stdout.columns ?? (fromVariable > 0 ? fromVariable : Number.POSITIVE_INFINITY)
  }

  /** Whether the output may be coloured. */
  protected get colours (): boolean {
    return process.stdout.isTTY && process.env.NO_COLOR === undefined
  }

  /** Asks an entry and shows progress meanwhile. */
  protected async asking<Answer> (
    flags: ConnectionFlags, text: string, ask: (client: EntryClient, progress: Progress) => Promise<Answer>
  ): Promise<Answer> {
    const connection: EntryClientOptions = { url: flags.entry, key: flags.key }
    const progress = startProgress(text, {
      write: line => { process.stderr.write(line) },
      isTerminal: process.stderr.isTTY
    })
    try {
      return await ask(createEntryClient(connection), progress)
    } finally {
      progress.stop()
    }
  }

  /** Writes a table. */
  protected logTable (columns: readonly TableColumn[], rows: ReadonlyArray<readonly string[]>): void {
    this.log(formatTable(columns, rows, this.columns))
  }

  /** Sets the exit code of a command that has a result. */
  protected exitAs (exit: ExitName): void {
    process.exitCode = EXIT_CODES[exit].code
  }

  protected override catch (error: Error): Promise<unknown> {
    const failure = toFailure(error)
    this.exitAs(failure.exit)
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
