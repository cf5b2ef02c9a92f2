/** `baobabpost job cancel KEY`. */
import { Args } from '@oclif/core'
import { SubmissionAnswer } from '@baobabpost/messages'
import { CUSTOMER_FLAG } from '../customer-flag.js'
import { OperatorCommand } from '../operator-command.js'
import { describeAnswer, parseSubmissionKey, submissionPath } from '../submissions.js'

/** Cancels the tasks of a job that have not started. */
export class JobCancel extends OperatorCommand {
  static override summary = 'Cancel the tasks of a job that have not started'
  static override description = 'Running tasks are not interrupted; their outcomes are in the answer.'
  static override examples = ['<%= config.bin %> job cancel 0198c0de-0000-7000-8000-000000000000 --customer medina']
  static override args = { submission: Args.string({ required: true, description: 'submission key' }) }
  static override flags = { customer: CUSTOMER_FLAG }

  async run (): Promise<SubmissionAnswer> {
    const { args, flags } = await this.parse(JobCancel)
    const path = submissionPath(parseSubmissionKey(args.submission), flags.customer)
    const answer = await this.withClient(
      flags, 'cancelling', client => client.request('DELETE', path, SubmissionAnswer))
    this.log(describeAnswer(answer))
    return answer
  }
}
