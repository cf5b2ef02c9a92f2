/** `baobabpost fleet status`. */
import { FleetStatus as Status } from '@baobabpost/messages'
import { OperatorCommand } from '../operator-command.js'
import { renderFleet } from '../render-fleet.js'

/** Shows the status of the fleet from the view of one entry. */
export class FleetStatus extends OperatorCommand {
  static override summary = 'Show the status of the fleet from the view of one entry'
  static override examples = ['<%= config.bin %> fleet status', '<%= config.bin %> fleet status --entry http://10.0.0.5:8080']

  async run (): Promise<Status> {
    const { flags } = await this.parse(FleetStatus)
    const status = await this.withClient(
      flags, 'reading the fleet', client => client.request('GET', '/v1/fleet', Status))
    this.log(renderFleet(status, this.outputWidth))
    return status
  }
}
