/** `baobabpost job show KEY`. */
import { Args, Flags } from '@oclif/core'
import type { SubmissionAnswer } from '@baobabpost/messages'
import { CUSTOMER_FLAG } from '../customer-flag.js'
import { OperatorCommand } from '../operator-command.js'
import { describeAnswer, exitNameForAnswer, followSubmission, parseSubmissionKey } from '../submissions.js'

export class JobShow extends OperatorCommand {
  static override summary = 'Show the state of a job, and the outcomes of its tasks once the job is finished'
  static override examples = [
    '<%= config.bin %> job show 0198c0de-0000-7000-8000-000000000000 --customer medina',
    '<%= config.bin %> job show 0198c0de-0000-7000-8000-000000000000 --customer medina --wait 60 --json'
  ]

  static override args = { submission: Args.string({ required: true, description: 'submission key' }) }

  static override flags = {
    customer: CUSTOMER_FLAG,
    wait: Flags.integer({ min: 0, max: 3_600, default: 0, summary: 'seconds to wait for the job to finish' })
  }

  async run (): Promise<SubmissionAnswer> {
    const { args, flags } = await this.parse(JobShow)
    const submission = parseSubmissionKey(args.submission)
    const followed = { submission, customer: flags.customer, waitSeconds: flags.wait }
    const answer = await this.withClient(
      flags, 'reading the job', (client, progress) => followSubmission(client, followed, progress))
    this.log(describeAnswer(answer))
    this.setExitCode(answer.state === 'running' && flags.wait === 0 ? 'done' : exitNameForAnswer(answer))
    return answer
  }
}
