/** `baobabpost fleet status`. */
import { FleetStatus as Status, type FleetEntry } from '@baobabpost/messages'
import { formatAge } from '../instant.js'
import { OperatorCommand } from '../operator-command.js'

function describe (status: Status): string {
  const behind = status.behind === undefined ? 'end of the log unknown' : `${status.behind} records behind`
  const queued = status.queues.map(queue => `${queue.service} ${queue.tasks}`).join(', ')
  return [
    `entry       ${status.identity} at ${status.address} in ${status.failureDomain}, version ${status.version}`,
    `state       ${status.state}, started ${formatAge(status.startedAt, status.at)} ago`,
    `log         applied up to offset ${status.position}, ${behind}, silent for ${status.logSilentMilliseconds} ms`,
    `partitions  ${status.partitionsOwned} owned, ${status.partitionsCollecting} being taken over`,
    `work        ${status.submissionsRunning} jobs running, ${status.callsPending} calls pending`,
    `waiting     ${queued === '' ? 'nothing' : queued}`,
    `invariants  ${status.invariantViolations} violations`
  ].join('\n')
}

function describeStandings (status: Status): string {
  const counts = new Map<string, number>()
  for (const agent of status.agents) counts.set(agent.standing, (counts.get(agent.standing) ?? 0) + 1)
  return [...counts].map(([standing, count]) => `${count} ${standing}`).join(', ') || 'none'
}

/** Shows the fleet as one entry sees it. */
export class FleetStatus extends OperatorCommand {
  static override summary = 'Show the fleet as one entry sees it'
  static override examples = ['<%= config.bin %> fleet status', '<%= config.bin %> fleet status --entry http://10.0.0.5:8080']

  async run (): Promise<Status> {
    const { flags } = await this.parse(FleetStatus)
    const status = await this.asking(
      flags, 'asking for the fleet', client => client.ask('GET', '/v1/fleet', Status))
    this.log(`${describe(status)}\nagents      ${describeStandings(status)}\n`)
    const columns = [
      { title: 'ENTRY' }, { title: 'DOMAIN' }, { title: 'STATE' }, { title: 'OFFSET', right: true },
      { title: 'PARTITIONS', right: true }, { title: 'HEARD', right: true }
    ]
    const toRow = (entry: FleetEntry): string[] => [
      entry.identity, entry.failureDomain, entry.state, String(entry.position), String(entry.partitionsOwned),
      entry.heardAt === undefined ? '' : `${formatAge(entry.heardAt, status.at)} ago`
    ]
    this.logTable(columns, status.entries.map(toRow))
    return status
  }
}
