/** Reads and publishes registers of configuration through an entry. */
import {
  ConfigurationAccepted, ConfigurationHistory, ConfigurationList, ConfigurationRegister, Customer, Objective, Policy,
  Team, Template
} from '@baobabpost/messages'
import { CommandFailure } from './command-failure.js'
import type { EntryClient } from './entry-client.js'

/** Schemas of the kinds of configuration that operators publish. */
export const PUBLISHED_SCHEMAS = {
  template: Template,
  customer: Customer,
  team: Team,
  policy: Policy,
  objective: Objective
} as const

/** Kind of configuration that operators publish. */
export type PublishedKind = keyof typeof PUBLISHED_SCHEMAS

/** All kinds that operators publish. */
export const PUBLISHED_KINDS = Object.keys(PUBLISHED_SCHEMAS) as readonly PublishedKind[]

function pathOf (kind: PublishedKind, name: string): string {
  return `/v1/configuration/${kind}/${encodeURIComponent(name)}`
}

/** Lists the registers of a kind. */
export async function listRegisters (client: EntryClient, kind: PublishedKind): Promise<ConfigurationList> {
  return await client.ask('GET', `/v1/configuration?kind=${kind}`, ConfigurationList)
}

/** Reads a register; one that was never written has version 0. */
export async function readRegister (
  client: EntryClient, kind: PublishedKind, name: string
): Promise<ConfigurationRegister> {
  return await client.ask('GET', pathOf(kind, name), ConfigurationRegister)
}

/**
 * Reads a register that must be there.
 *
 * @throws CommandFailure with exit `unknown`.
 */
export async function requireRegister (
  client: EntryClient, kind: PublishedKind, name: string
): Promise<ConfigurationRegister> {
  const register = await readRegister(client, kind, name)
  if (register.value !== null) return register
  throw new CommandFailure({ exit: 'unknown', detail: `There is no ${kind} '${name}'` })
}

/** Reads the versions of a register. */
export async function readHistory (
  client: EntryClient, kind: PublishedKind, name: string
): Promise<ConfigurationHistory> {
  return await client.ask('GET', `${pathOf(kind, name)}/history`, ConfigurationHistory)
}

/** What is to be published. */
export interface Publication {
  readonly kind: PublishedKind
  readonly name: string
  /** `null` removes the register. */
  readonly value: unknown
  /** Version that the value was decided on; the present one where absent. */
  readonly replaces: number | undefined
}

/** Publishes a register. Of two operators who decided on the same version, one gets a conflict. */
export async function publishRegister (client: EntryClient, publication: Publication): Promise<ConfigurationAccepted> {
  const { kind, name, value } = publication
  const replaces = publication.replaces ?? (await readRegister(client, kind, name)).version
  return await client.ask('PUT', pathOf(kind, name), ConfigurationAccepted, { replaces, value })
}
