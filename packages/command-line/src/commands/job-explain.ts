/** `baobabpost job explain ID`. */
import { Args, Flags } from '@oclif/core'
import { Explanation } from '@baobabpost/messages'
import { CommandFailure } from '../command-failure.js'
import { CUSTOMER_FLAG } from '../customer-flag.js'
import { traceJob, type JobTrace } from '../job-trace.js'
import { OperatorCommand } from '../operator-command.js'
import { readLogLines } from '../read-log-lines.js'
import { renderExplanation } from '../render-explanation.js'
import { renderJobTrace } from '../render-job-trace.js'
import { parseSubmissionKey, submissionPath } from '../submissions.js'

/** Explains what happened to a job, from the steps that an entry recorded or from log files. */
export class JobExplain extends OperatorCommand {
  static override summary = 'Explain what happened to a job: its steps with times, processes and reasons'
  static override examples = [
    '<%= config.bin %> job explain 0198c0de-0000-7000-8000-000000000000 --customer medina',
    '<%= config.bin %> job explain 5c0e7a21d94b36f8 --logs logs'
  ]

  static override args = {
    job: Args.string({ required: true, description: 'submission key, or, with --logs, the job id that the caller chose' })
  }

  static override flags = {
    customer: CUSTOMER_FLAG,
    logs: Flags.string({ description: 'file or directory of log lines to search for the job and the cause of its outcome, without a request to an entry' })
  }

  async run (): Promise<Explanation | JobTrace> {
    const { args, flags } = await this.parse(JobExplain)
    if (flags.logs !== undefined) return this.explainFromLogs(flags.logs, args.job)
    const path = submissionPath(parseSubmissionKey(args.job), flags.customer, '/explanation')
    const explanation = await this.withClient(
      flags, 'reading the steps', client => client.request('GET', path, Explanation))
    this.log(renderExplanation(explanation, this.outputWidth))
    return explanation
  }

  private explainFromLogs (logs: string, job: string): JobTrace {
    const trace = traceJob(readLogLines(logs), job)
    if (trace === undefined) throw new CommandFailure({ exit: 'unknown', detail: `No log line in '${logs}' belongs to the job '${job}'` })
    this.log(renderJobTrace(trace, this.outputWidth))
    return trace
  }
}
