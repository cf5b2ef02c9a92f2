/** `baobabpost template show NAME`. */
import { Args } from '@oclif/core'
import type { ConfigurationRegister } from '@baobabpost/messages'
import { OperatorCommand } from '../operator-command.js'
import { requireRegister } from '../register-client.js'

export class TemplateShow extends OperatorCommand {
  static override summary = 'Show a template with its version'
  static override examples = ['<%= config.bin %> template show lending-checkout']
  static override args = { name: Args.string({ required: true, description: 'name of the template' }) }

  async run (): Promise<ConfigurationRegister> {
    const { args, flags } = await this.parse(TemplateShow)
    const register = await this.withClient(
      flags, 'reading the template', client => requireRegister(client, 'template', args.name))
    this.log(`version ${register.version}\n${JSON.stringify(register.value, undefined, 2)}`)
    return register
  }
}
