/** `baobabpost job explain ID`. */
import { Args, Flags } from '@oclif/core'
import { Explanation } from '@baobabpost/messages'
import { CommandFailure } from '../command-failure.js'
import { CUSTOMER_FLAG } from '../customer-flag.js'
import { walkLogs, type LogWalk } from '../job-trace.js'
import { OperatorCommand } from '../operator-command.js'
import { readLogLines } from '../read-log-lines.js'
import { renderExplanation } from '../render-explanation.js'
import { renderLogWalk } from '../render-job-trace.js'
import { parseSubmissionKey, submissionPath } from '../submissions.js'

/** Tells what happened to a job, step by step. */
export class JobExplain extends OperatorCommand {
  static override summary = 'Tell what happened to a job, step by step, with times, places and reasons'
  static override examples = [
    '<%= config.bin %> job explain 0198c0de-0000-7000-8000-000000000000 --customer medina',
    '<%= config.bin %> job explain 5c0e7a21d94b36f8 --logs logs'
  ]

  static override args = {
    job: Args.string({ required: true, description: 'submission key; with --logs the id that the caller chose' })
  }

  static override flags = {
    customer: CUSTOMER_FLAG,
    logs: Flags.string({ description: 'file or directory of log lines to find the job and its cause in, asking no entry' })
  }

  async run (): Promise<Explanation | LogWalk> {
    const { args, flags } = await this.parse(JobExplain)
    if (flags.logs !== undefined) return this.explainFrom(flags.logs, args.job)
    const path = submissionPath(parseSubmissionKey(args.job), flags.customer, '/explanation')
    const explanation = await this.asking(
      flags, 'asking for the steps', client => client.ask('GET', path, Explanation))
    this.log(renderExplanation(explanation, this.columns))
    return explanation
  }

  private explainFrom (logs: string, job: string): LogWalk {
    const walk = walkLogs(readLogLines(logs), job)
    if (walk === undefined) throw new CommandFailure({ exit: 'unknown', detail: `No line in '${logs}' names the job '${job}'` })
    this.log(renderLogWalk(walk, this.columns))
    return walk
  }
}
