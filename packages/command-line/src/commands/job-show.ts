/** `baobabpost job show KEY`. */
import { Args, Flags } from '@oclif/core'
import type { SubmissionAnswer } from '@baobabpost/messages'
import { CUSTOMER_FLAG } from '../customer-flag.js'
import { OperatorCommand } from '../operator-command.js'
import { describeAnswer, exitOf, followSubmission, parseSubmissionKey } from '../submissions.js'

/** Shows a job. */
export class JobShow extends OperatorCommand {
  static override summary = 'Show the state of a job, and its outcomes once it has ended'
  static override examples = [
    '<%= config.bin %> job show 0198c0de-0000-7000-8000-000000000000 --customer medina',
    '<%= config.bin %> job show 0198c0de-0000-7000-8000-000000000000 --customer medina --wait 60 --json'
  ]

  static override args = { submission: Args.string({ required: true, description: 'submission key' }) }

  static override flags = {
    customer: CUSTOMER_FLAG,
    wait: Flags.integer({ min: 0, max: 3_600, default: 0, summary: 'seconds to wait for the end of the job' })
  }

  async run (): Promise<SubmissionAnswer> {
    const { args, flags } = await this.parse(JobShow)
    const submission = parseSubmissionKey(args.submission)
    const followed = { submission, customer: flags.customer, waitSeconds: flags.wait }
    const answer = await this.asking(
      flags, 'asking for the job', (client, progress) => followSubmission(client, followed, progress))
    this.log(describeAnswer(answer))
    this.exitAs(answer.state === 'running' && flags.wait === 0 ? 'done' : exitOf(answer))
    return answer
  }
}
