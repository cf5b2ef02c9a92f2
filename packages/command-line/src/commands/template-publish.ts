/** `baobabpost template publish FILE`. */
import { Args, Flags } from '@oclif/core'
import { Template, type ConfigurationAccepted } from '@baobabpost/messages'
import { readInput } from '../input-file.js'
import { OperatorCommand } from '../operator-command.js'
import { publishRegister } from '../register-client.js'

/** Publishes a template. */
export class TemplatePublish extends OperatorCommand {
  static override summary = 'Publish a template from a JSON file'
  static override description = 'Of two operators who publish against the same version, one gets a conflict (exit code 6).'
  static override examples = [
    '<%= config.bin %> template publish lending.json',
    '<%= config.bin %> template publish lending.json --replaces 41'
  ]

  static override args = { file: Args.string({ required: true, description: 'JSON file; - is standard input' }) }

  static override flags = {
    replaces: Flags.integer({ min: 0, summary: 'version that this one was decided on; the present one by default' })
  }

  async run (): Promise<ConfigurationAccepted> {
    const { args, flags } = await this.parse(TemplatePublish)
    const value = readInput(args.file, Template)
    const publication = { kind: 'template' as const, name: value.name, value, replaces: flags.replaces }
    const accepted = await this.asking(flags, 'publishing', client => publishRegister(client, publication))
    this.log(`${accepted.register} has version ${accepted.version}`)
    return accepted
  }
}
