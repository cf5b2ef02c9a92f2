/** `baobabpost configuration publish KIND NAME FILE`. */
import { Args, Flags } from '@oclif/core'
import type { ConfigurationAccepted } from '@baobabpost/messages'
import { CommandFailure } from '../command-failure.js'
import { readJsonInput } from '../input-file.js'
import { OperatorCommand } from '../operator-command.js'
import { PUBLISHED_KINDS, PUBLISHED_SCHEMAS, publishRegister, type PublishedKind } from '../register-client.js'

function readValue (kind: PublishedKind, name: string, file: string): unknown {
  const value = readJsonInput(file, PUBLISHED_SCHEMAS[kind])
  if (value.name === name) return value
  throw new CommandFailure({ exit: 'usage', detail: `The name in the file is '${value.name}', but the command names '${name}'` })
}

/** Publishes or removes a configuration register. */
export class ConfigurationPublish extends OperatorCommand {
  static override summary = 'Publish or remove a configuration register'
  static override description = 'If two operators replace the same version, one of them gets a conflict (exit code 6).'
  static override examples = [
    '<%= config.bin %> configuration publish customer medina medina.json',
    '<%= config.bin %> configuration publish policy default policy.json --replaces 41',
    '<%= config.bin %> configuration publish objective lending-response --remove'
  ]

  static override args = {
    kind: Args.option({ options: PUBLISHED_KINDS })({ required: true, description: 'kind of configuration' }),
    name: Args.string({ required: true, description: 'name within the kind' }),
    file: Args.string({ description: 'JSON file, or - for standard input' })
  }

  static override flags = {
    replaces: Flags.integer({ min: 0, summary: 'version that this one replaces; the current one by default' }),
    remove: Flags.boolean({ default: false, summary: 'remove the register instead of publishing a value' })
  }

  async run (): Promise<ConfigurationAccepted> {
    const { args, flags } = await this.parse(ConfigurationPublish)
    const { kind, name, file } = args
    if (flags.remove === (file !== undefined)) {
      throw new CommandFailure({ exit: 'usage', detail: 'Either a file or --remove is required' })
    }
    const value = file === undefined ? null : readValue(kind, name, file)
    const publication = { kind, name, value, replaces: flags.replaces }
    const accepted = await this.withClient(flags, 'publishing', client => publishRegister(client, publication))
    this.log(`${accepted.register} has version ${accepted.version}`)
    return accepted
  }
}
