/** `baobabpost fleet status`. */
import { FleetStatus as Status } from '@baobabpost/messages'
import { OperatorCommand } from '../operator-command.js'
import { renderFleet } from '../render-fleet.js'

/** Shows the fleet as one entry sees it. */
export class FleetStatus extends OperatorCommand {
  static override summary = 'Show the fleet as one entry sees it'
  static override examples = ['<%= config.bin %> fleet status', '<%= config.bin %> fleet status --entry http://10.0.0.5:8080']

  async run (): Promise<Status> {
    const { flags } = await this.parse(FleetStatus)
    const status = await this.asking(
      flags, 'asking for the fleet', client => client.ask('GET', '/v1/fleet', Status))
    this.log(renderFleet(status, this.columns))
    return status
  }
}
