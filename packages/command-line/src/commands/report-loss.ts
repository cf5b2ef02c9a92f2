/** `baobabpost report loss PATH`. */
import { Args, Flags } from '@oclif/core'
import { CommandFailure } from '../command-failure.js'
import { reportLosses, type LossReport } from '../loss-report.js'
import { OperatorCommand } from '../operator-command.js'
import { readLogLines } from '../read-log-lines.js'
import { renderLossReport } from '../render-loss-report.js'

function parseWeight (text: string): [string, number] {
  const separator = text.lastIndexOf('=')
  const weight = Number(text.slice(separator + 1))
  if (separator <= 0 || !(weight > 0)) {
    throw new CommandFailure({ exit: 'usage', detail: `'${text}' is not of the form ROUTE=WEIGHT with a weight above 0` })
  }
  return [text.slice(0, separator), weight]
}

/** Reports from log files which jobs were not served within their objective, and why. */
export class ReportLoss extends OperatorCommand {
  static override summary = 'Report from log files where jobs were not served within their objective: by cause, route and time'
  static override examples = [
    '<%= config.bin %> report loss logs',
    '<%= config.bin %> report loss logs --weight lookup=0.03 --weight checkout=0.16 --json'
  ]

  static override args = {
    logs: Args.string({ required: true, description: 'file or directory of log lines of the entries and agents' })
  }

  static override flags = {
    interval: Flags.integer({ summary: 'length of the intervals of time, in seconds', default: 2, min: 1 }),
    weight: Flags.string({ summary: 'weight of the jobs of a route in the shares, as ROUTE=WEIGHT', multiple: true, default: [] })
  }

  async run (): Promise<LossReport> {
    const { args, flags } = await this.parse(ReportLoss)
    const report = reportLosses(readLogLines(args.logs), {
      weights: new Map(flags.weight.map(parseWeight)), intervalSeconds: flags.interval
    })
    if (report.jobs === 0) {
      throw new CommandFailure({ exit: 'unknown', detail: `No log line in '${args.logs}' belongs to a job` })
    }
    this.log(renderLossReport(report, this.outputWidth))
    return report
  }
}
