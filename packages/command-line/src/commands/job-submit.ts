/** `baobabpost job submit FILE`. */
import { Args, Flags } from '@oclif/core'
import { createSubmissionKey } from '@baobabpost/common'
import { JobRequest, type SubmissionAnswer } from '@baobabpost/messages'
import { readJsonInput } from '../input-file.js'
import { OperatorCommand } from '../operator-command.js'
import { describeAnswer, exitNameForAnswer, followSubmission, parseSubmissionKey } from '../submissions.js'

/** Submits a job and waits for its complete answer. */
export class JobSubmit extends OperatorCommand {
  static override summary = 'Submit a job and wait for its complete answer'
  static override description =
    'The submission key is printed first. Repeating the command with --submission KEY never runs a task twice.'

  static override examples = [
    '<%= config.bin %> job submit job.json',
    '<%= config.bin %> job submit job.json --submission 0198c0de-0000-7000-8000-000000000000 --wait 120'
  ]

  static override args = { file: Args.string({ required: true, description: 'JSON file, or - for standard input' }) }

  static override flags = {
    submission: Flags.string({ summary: 'submission key of an earlier attempt; a new one by default' }),
    wait: Flags.integer({ min: 0, max: 3_600, default: 30, summary: 'seconds to wait for the answer' })
  }

  async run (): Promise<SubmissionAnswer> {
    const { args, flags } = await this.parse(JobSubmit)
    const request = readJsonInput(args.file, JobRequest)
    const submission = flags.submission === undefined ? createSubmissionKey() : parseSubmissionKey(flags.submission)
    process.stderr.write(`submission ${submission}\n`)
    const followed = { submission, customer: undefined, request, waitSeconds: flags.wait }
    const answer = await this.withClient(
      flags, 'submitting', (client, progress) => followSubmission(client, followed, progress))
    this.log(describeAnswer(answer))
    this.setExitCode(exitNameForAnswer(answer))
    return answer
  }
}
