/** `baobabpost report burn`. */
import { writeFileSync } from 'node:fs'
import { Flags } from '@oclif/core'
import { renderBurnPage, renderBurnTable } from '@baobabpost/burn-report'
import { BurnReport } from '@baobabpost/messages'
import { CommandFailure } from '../command-failure.js'
import { OperatorCommand } from '../operator-command.js'

/** Width in characters if the output has no width, as for piped output. */
const DEFAULT_COLUMNS = 80

function writePage (file: string, report: BurnReport): void {
  try {
    writeFileSync(file, renderBurnPage(report))
  } catch (error) {
    throw new CommandFailure({ exit: 'usage', detail: `The page '${file}' could not be written: ${(error as Error).message}` })
  }
}

/** Reports the burn rates of the error budgets. */
export class ReportBurn extends OperatorCommand {
  static override summary = 'Report the burn rates of the error budgets and their largest consumers'
  static override examples = [
    '<%= config.bin %> report burn',
    '<%= config.bin %> report burn --page burn.html',
    '<%= config.bin %> report burn --json'
  ]

  static override flags = { page: Flags.string({ summary: 'also write the report to this file as a self-contained HTML page' }) }

  async run (): Promise<BurnReport> {
    const { flags } = await this.parse(ReportBurn)
    const report = await this.withClient(
      flags, 'reading the report', client => client.request('GET', '/v1/report/burn', BurnReport))
    if (flags.page !== undefined) writePage(flags.page, report)
    const columns = Number.isFinite(this.outputWidth) ? this.outputWidth : DEFAULT_COLUMNS
    this.log(renderBurnTable(report, { columns, hasColours: this.usesColours }).trimEnd())
    if (flags.page !== undefined) this.logToStderr(`The page was written to ${flags.page}`)
    return report
  }
}
