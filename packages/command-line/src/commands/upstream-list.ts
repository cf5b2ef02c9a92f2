/** `baobabpost upstream list`. */
import { Flags } from '@oclif/core'
import { FleetStatus, type FleetAgent } from '@baobabpost/messages'
import { OperatorCommand } from '../operator-command.js'

/** What `--json` prints. */
interface UpstreamListResult {
  readonly agents: readonly FleetAgent[]
}

function toRow (agent: FleetAgent): string[] {
  const standing = agent.reason === undefined ? agent.standing : `${agent.standing}: ${agent.reason}`
  const speed = agent.speed === undefined ? '-' : agent.speed.toFixed(2)
  const work = `${agent.unfinished}/${agent.window}`
  return [agent.identity, agent.service, agent.failureDomain, String(agent.slots), work, speed, standing]
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
    const columns = [
      { title: 'AGENT' }, { title: 'SERVICE' }, { title: 'DOMAIN' }, { title: 'SLOTS', right: true },
      { title: 'WORK/WINDOW', right: true }, { title: 'SPEED', right: true }, { title: 'STANDING' }
    ]
    this.logTable(columns, agents.map(toRow))
    return { agents }
  }
}
