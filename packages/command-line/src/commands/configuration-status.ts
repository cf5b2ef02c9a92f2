/** `baobabpost configuration status`. */
import { ConfigurationStatus as Status } from '@baobabpost/messages'
import { formatInstant } from '../format-time.js'
import { OperatorCommand } from '../operator-command.js'

/** Shows where configuration is in force and since when. */
export class ConfigurationStatus extends OperatorCommand {
  static override summary = 'Show how far each process has applied configuration, and since when'
  static override examples = ['<%= config.bin %> configuration status']

  async run (): Promise<Status> {
    const { flags } = await this.parse(ConfigurationStatus)
    const status = await this.asking(
      flags, 'asking for the status', client => client.ask('GET', '/v1/configuration-status', Status))
    this.log(`applied here up to offset ${status.position}; the log has been silent for ${status.logSilentMilliseconds} ms`)
    const columns = [
      { title: 'PROCESS' }, { title: 'ROLE' }, { title: 'OFFSET', right: true }, { title: 'BEHIND', right: true },
      { title: 'SOURCE' }, { title: 'SINCE' }
    ]
    this.logTable(columns, status.processes.map(({ identity, role, position, behind, source, since }) =>
      [identity, role, String(position), String(behind), source, formatInstant(since)]))
    return status
  }
}
