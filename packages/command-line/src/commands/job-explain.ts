/** `baobabpost job explain KEY`. */
import { Args } from '@oclif/core'
import { Explanation } from '@baobabpost/messages'
import { CUSTOMER_FLAG } from '../customer-flag.js'
import { OperatorCommand } from '../operator-command.js'
import { renderExplanation } from '../render-explanation.js'
import { parseSubmissionKey, submissionPath } from '../submissions.js'

/** Tells what happened to a job, step by step. */
export class JobExplain extends OperatorCommand {
  static override summary = 'Tell what happened to a job, step by step, with times, places and reasons'
  static override examples = ['<%= config.bin %> job explain 0198c0de-0000-7000-8000-000000000000 --customer medina']
  static override args = { submission: Args.string({ required: true, description: 'submission key' }) }
  static override flags = { customer: CUSTOMER_FLAG }

  async run (): Promise<Explanation> {
    const { args, flags } = await this.parse(JobExplain)
    const path = submissionPath(parseSubmissionKey(args.submission), flags.customer, '/explanation')
    const explanation = await this.asking(
      flags, 'asking for the steps', client => client.ask('GET', path, Explanation))
    this.log(renderExplanation(explanation, this.columns))
    return explanation
  }
}
