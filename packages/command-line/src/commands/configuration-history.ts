/** `baobabpost configuration history KIND NAME`. */
import { Args } from '@oclif/core'
import type { ConfigurationHistory as History, ConfigurationVersion } from '@baobabpost/messages'
import { OperatorCommand } from '../operator-command.js'
import { PUBLISHED_KINDS, readHistory } from '../register-client.js'
import { formatInstant } from '../format-time.js'

function toRow ({ version, value, author, appliedAt }: ConfigurationVersion): string[] {
  const text = value === null ? '(removed)' : JSON.stringify(value)
  return [String(version), appliedAt === undefined ? '-' : formatInstant(appliedAt), author ?? '-', text]
}

/** Shows the versions of a register of configuration. */
export class ConfigurationHistory extends OperatorCommand {
  static override summary = 'Show earlier versions of a piece of configuration, newest first'
  static override examples = ['<%= config.bin %> configuration history customer medina']

  static override args = {
    kind: Args.option({ options: PUBLISHED_KINDS })({ required: true, description: 'kind of configuration' }),
    name: Args.string({ required: true, description: 'name within the kind' })
  }

  async run (): Promise<History> {
    const { args, flags } = await this.parse(ConfigurationHistory)
    const history = await this.asking(
      flags, 'asking for the history', client => readHistory(client, args.kind, args.name))
    const columns = [{ title: 'VERSION', right: true }, { title: 'IN FORCE SINCE' }, { title: 'AUTHOR' }, { title: 'VALUE' }]
    this.logTable(columns, history.versions.map(toRow))
    if (history.truncated) this.log('Older versions are no longer known to this entry.')
    return history
  }
}
