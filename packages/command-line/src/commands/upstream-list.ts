/** `baobabpost upstream list`. */
import { Flags } from '@oclif/core'
import { FleetStatus, type FleetAgent } from '@baobabpost/messages'
import { OperatorCommand } from '../operator-command.js'
import { renderUpstreams } from '../render-fleet.js'

/** What `--json` prints. */
interface UpstreamListResult {
  readonly agents: readonly FleetAgent[]
}

/** Lists the upstreams that announced themselves. */
export class UpstreamList extends OperatorCommand {
  static override summary = 'List the upstreams that announced themselves, as one entry sees them'
  static override examples = [
    '<%= config.bin %> upstream list', '<%= config.bin %> upstream list --service lending --json'
  ]

  static override flags = { service: Flags.string({ summary: 'only the upstreams of this service' }) }

  async run (): Promise<UpstreamListResult> {
    const { flags } = await this.parse(UpstreamList)
    const fleet = await this.asking(
      flags, 'asking for the upstreams', client => client.ask('GET', '/v1/fleet', FleetStatus))
    const agents = fleet.agents.filter(agent => flags.service === undefined || agent.service === flags.service)
    this.log(renderUpstreams(agents, this.columns))
    return { agents }
  }
}
