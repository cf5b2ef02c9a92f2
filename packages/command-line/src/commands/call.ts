/** `baobabpost call FILE`. */
import { Args } from '@oclif/core'
import { CallAnswer, CallRequest } from '@baobabpost/messages'
import { readJsonInput } from '../input-file.js'
import { OperatorCommand } from '../operator-command.js'

export class Call extends OperatorCommand {
  static override summary = 'Run a single request and print its answer'
  static override description =
    'A request that is not idempotent is never repeated: after exit code 8, check at the upstream whether it ran.'

  static override examples = [
    '<%= config.bin %> call checkout.json',
    'echo \'{"template":"checkout","customer":"medina","input":{"tool":"drill-7"}}\' | <%= config.bin %> call -'
  ]

  static override args = { file: Args.string({ required: true, description: 'JSON file, or - for standard input' }) }

  async run (): Promise<CallAnswer> {
    const { args, flags } = await this.parse(Call)
    const request = readJsonInput(args.file, CallRequest)
    const answer = await this.withClient(flags, 'calling', client => client.request('POST', '/v1/calls', CallAnswer, request))
    this.log(JSON.stringify(answer.answer, undefined, 2))
    return answer
  }
}
