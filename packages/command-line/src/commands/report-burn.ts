/** `baobabpost report burn`. */
import { writeFileSync } from 'node:fs'
import { Flags } from '@oclif/core'
import { renderBurnPage, renderBurnTable } from '@baobabpost/burn-report'
import { BurnReport } from '@baobabpost/messages'
import { CommandFailure } from '../command-failure.js'
import { OperatorCommand } from '../operator-command.js'

const FEWEST_COLUMNS = 80

function writePage (file: string, report: BurnReport): void {
  try {
    writeFileSync(file, renderBurnPage(report))
  } catch (reason) {
    throw new CommandFailure({ exit: 'usage', detail: `The page could not be written: ${(reason as Error).message}` })
  }
}

/** Reports how fast the error budgets are being spent. */
export class ReportBurn extends OperatorCommand {
  static override summary = 'Report how fast the error budgets are being spent, and what spends them'
  static override examples = [
    '<%= config.bin %> report burn',
    '<%= config.bin %> report burn --page burn.html',
    '<%= config.bin %> report burn --json'
  ]

  static override flags = { page: Flags.string({ summary: 'also write a self-contained HTML page to this file' }) }

  async run (): Promise<BurnReport> {
    const { flags } = await this.parse(ReportBurn)
    const report = await this.asking(
      flags, 'asking for the report', client => client.ask('GET', '/v1/report/burn', BurnReport))
    if (flags.page !== undefined) writePage(flags.page, report)
    const columns = Number.isFinite(this.columns) ? this.columns : FEWEST_COLUMNS
    this.log(renderBurnTable(report, { columns, hasColours: this.colours }).trimEnd())
    if (flags.page !== undefined) this.logToStderr(`The page was written to ${flags.page}`)
    return report
  }
}
