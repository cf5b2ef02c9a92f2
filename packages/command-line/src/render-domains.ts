/** Renders failure domains as text. */
import type { FailureDomain } from '@baobabpost/messages'
import type { TableColumn } from './table.js'

export const DOMAIN_COLUMNS: readonly TableColumn[] = [
  { title: 'DOMAIN' }, { title: 'STATE' }, { title: 'VERSION', isRightAligned: true },
  { title: 'AGENTS', isRightAligned: true }, { title: 'ENTRIES', isRightAligned: true }, { title: 'REASON' }
]

/** Returns the cells of a failure domain; agents and entries as `INFORMED/ALL`. */
export function toDomainRow (domain: FailureDomain): string[] {
  const { name, evacuated, version, agents, agentsInformed, entries, entriesInformed, reason } = domain
  return [
    name, evacuated ? 'evacuated' : 'in service', String(version), `${agentsInformed}/${agents}`,
    `${entriesInformed}/${entries}`, reason ?? ''
  ]
}

/**
 * Describes a failure domain in one line.
 *
 * @example
 * describeDomain(domain) // 'dakar-1 is evacuated, known at 2 of 3 agents and 3 of 3 entries'
 */
export function describeDomain (domain: FailureDomain): string {
  const { name, evacuated, agents, agentsInformed, entries, entriesInformed } = domain
  return `${name} is ${evacuated ? 'evacuated' : 'in service'}, known at ${agentsInformed} of ${agents} agents and ` +
    `${entriesInformed} of ${entries} entries`
}
