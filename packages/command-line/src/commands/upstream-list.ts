/** `baobabpost upstream list`. */
import { Flags } from '@oclif/core'
import { FleetStatus, type FleetAgent } from '@baobabpost/messages'
import { OperatorCommand } from '../operator-command.js'
import { renderUpstreams } from '../render-fleet.js'

/** Value that `--json` prints. */
interface UpstreamListResult {
  readonly agents: readonly FleetAgent[]
}

/** Lists the upstreams whose agents announced them to an entry. */
export class UpstreamList extends OperatorCommand {
  static override summary = 'List the upstreams from the view of one entry'
  static override examples = [
    '<%= config.bin %> upstream list', '<%= config.bin %> upstream list --service lending --json'
  ]

  static override flags = { service: Flags.string({ summary: 'only the upstreams of this service' }) }

  async run (): Promise<UpstreamListResult> {
    const { flags } = await this.parse(UpstreamList)
    const fleet = await this.withClient(
      flags, 'reading the upstreams', client => client.request('GET', '/v1/fleet', FleetStatus))
    const agents = fleet.agents.filter(agent => flags.service === undefined || agent.service === flags.service)
    this.log(renderUpstreams(agents, this.outputWidth))
    return { agents }
  }
}
