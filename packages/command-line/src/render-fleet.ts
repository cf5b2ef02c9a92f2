/** Renders the status of the fleet and its upstreams as text. */
import type { FleetAgent, FleetEntry, FleetStatus } from '@baobabpost/messages'
import { formatAge } from './format-time.js'
import { formatTable, type TableColumn } from './table.js'

const ENTRY_COLUMNS: readonly TableColumn[] = [
  { title: 'ENTRY' }, { title: 'DOMAIN' }, { title: 'STATE' }, { title: 'OFFSET', isRightAligned: true },
  { title: 'PARTITIONS', isRightAligned: true }, { title: 'HEARD', isRightAligned: true }
]

const AGENT_COLUMNS: readonly TableColumn[] = [
  { title: 'AGENT' }, { title: 'SERVICE' }, { title: 'DOMAIN' }, { title: 'SLOTS', isRightAligned: true },
  { title: 'WORK/WINDOW', isRightAligned: true }, { title: 'SPEED', isRightAligned: true }, { title: 'STANDING' }
]

function describeEntry (status: FleetStatus): string[] {
  const behind = status.behind === undefined ? 'end of the log unknown' : `${status.behind} records behind`
  const queued = status.queues.map(queue => `${queue.service} ${queue.tasks}`).join(', ')
  return [
    `entry       ${status.identity} at ${status.address} in ${status.failureDomain}, version ${status.version}`,
    `state       ${status.state}, started ${formatAge(status.startedAt, status.at)} ago`,
    `log         applied up to offset ${status.position}, ${behind}, silent for ${status.logSilentMilliseconds} ms`,
    `partitions  ${status.partitionsOwned} owned, ${status.partitionsCollecting} being taken over`,
    `work        ${status.submissionsRunning} jobs running, ${status.callsPending} calls pending`,
    `waiting     ${queued === '' ? 'nothing' : queued}`,
    `evacuated   ${status.evacuatedDomains?.join(', ') || 'no failure domain'}`,
    `invariants  ${status.invariantViolations} violations`,
    `agents      ${formatStandingCounts(status.agents)}`
  ]
}

function formatStandingCounts (agents: readonly FleetAgent[]): string {
  const counts = new Map<string, number>()
  for (const agent of agents) counts.set(agent.standing, (counts.get(agent.standing) ?? 0) + 1)
  return [...counts].map(([standing, count]) => `${count} ${standing}`).join(', ') || 'none'
}

function toEntryRow (entry: FleetEntry, now: number): string[] {
  const lastContact = entry.heardAt === undefined ? '-' : `${formatAge(entry.heardAt, now)} ago`
  const { identity, failureDomain, state, position, partitionsOwned } = entry
  return [identity, failureDomain, state, String(position), String(partitionsOwned), lastContact]
}

function toAgentRow (agent: FleetAgent): string[] {
  const standing = agent.reason === undefined ? agent.standing : `${agent.standing}: ${agent.reason}`
  const speed = agent.speed === undefined ? '-' : agent.speed.toFixed(2)
  const work = `${agent.unfinished}/${agent.window}`
  return [agent.identity, agent.service, agent.failureDomain, String(agent.slots), work, speed, standing]
}

/** Renders the fleet status that one entry reports; lines are truncated to the width. */
export function renderFleet (status: FleetStatus, width: number): string {
  const lines = describeEntry(status).map(line => line.length <= width ? line : `${line.slice(0, width - 1)}…`)
  const rows = status.entries.map(entry => toEntryRow(entry, status.at))
  return `${lines.join('\n')}\n\n${formatTable(ENTRY_COLUMNS, rows, width)}`
}

/** Renders a table of upstreams and their agents. */
export function renderUpstreams (agents: readonly FleetAgent[], width: number): string {
  return formatTable(AGENT_COLUMNS, agents.map(toAgentRow), width)
}
