/** `baobabpost call FILE`. */
import { Args } from '@oclif/core'
import { CallAnswer, CallRequest } from '@baobabpost/messages'
import { readInput } from '../input-file.js'
import { OperatorCommand } from '../operator-command.js'

/** Runs a single request. */
export class Call extends OperatorCommand {
  static override summary = 'Run a single request and print its answer'
  static override description =
    'A request that is not idempotent is never repeated: after exit code 8 find out at the upstream whether it ran.'

  static override examples = [
    '<%= config.bin %> call checkout.json',
    'echo \'{"template":"checkout","customer":"medina","input":{"tool":"drill-7"}}\' | <%= config.bin %> call -'
  ]

  static override args = { file: Args.string({ required: true, description: 'JSON file; - is standard input' }) }

  async run (): Promise<CallAnswer> {
    const { args, flags } = await this.parse(Call)
    const request = readInput(args.file, CallRequest)
    const answer = await this.asking(flags, 'calling', client => client.ask('POST', '/v1/calls', CallAnswer, request))
    this.log(JSON.stringify(answer.answer, undefined, 2))
    return answer
  }
}
