/** `baobabpost template publish FILE`. */
import { Args, Flags } from '@oclif/core'
import { Template, type ConfigurationAccepted } from '@baobabpost/messages'
import { readJsonInput } from '../input-file.js'
import { OperatorCommand } from '../operator-command.js'
import { publishRegister } from '../register-client.js'

export class TemplatePublish extends OperatorCommand {
  static override summary = 'Publish a template from a JSON file'
  static override description = 'If two operators replace the same version, one of them gets a conflict (exit code 6).'
  static override examples = [
    '<%= config.bin %> template publish lending.json',
    '<%= config.bin %> template publish lending.json --replaces 41'
  ]

  static override args = { file: Args.string({ required: true, description: 'JSON file, or - for standard input' }) }

  static override flags = {
    replaces: Flags.integer({ min: 0, summary: 'version that this one replaces; the current one by default' })
  }

  async run (): Promise<ConfigurationAccepted> {
    const { args, flags } = await this.parse(TemplatePublish)
    const value = readJsonInput(args.file, Template)
    const publication = { kind: 'template' as const, name: value.name, value, replaces: flags.replaces }
    const accepted = await this.withClient(flags, 'publishing', client => publishRegister(client, publication))
    this.log(`${accepted.register} has version ${accepted.version}`)
    return accepted
  }
}
