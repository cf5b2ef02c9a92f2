/** Reads and publishes configuration registers through an entry. */
import {
  ConfigurationAccepted, ConfigurationHistory, ConfigurationList, ConfigurationRegister, Customer, Objective, Policy,
  Team, Template
} from '@baobabpost/messages'
import { CommandFailure } from './command-failure.js'
import type { EntryClient } from './entry-client.js'

/** Schemas of the configuration kinds that operators publish. */
export const PUBLISHED_SCHEMAS = {
  template: Template,
  customer: Customer,
  team: Team,
  policy: Policy,
  objective: Objective
} as const

export type PublishedKind = keyof typeof PUBLISHED_SCHEMAS

export const PUBLISHED_KINDS = Object.keys(PUBLISHED_SCHEMAS) as readonly PublishedKind[]

function registerPath (kind: PublishedKind, name: string): string {
  return `/v1/configuration/${kind}/${encodeURIComponent(name)}`
}

export async function listRegisters (client: EntryClient, kind: PublishedKind): Promise<ConfigurationList> {
  return await client.request('GET', `/v1/configuration?kind=${kind}`, ConfigurationList)
}

/** Reads a register. A register that was never written has version 0 and the value `null`. */
export async function readRegister (
  client: EntryClient, kind: PublishedKind, name: string
): Promise<ConfigurationRegister> {
  return await client.request('GET', registerPath(kind, name), ConfigurationRegister)
}

/**
 * Reads a register that must have a value.
 *
 * @throws CommandFailure with exit `unknown` if it has none.
 */
export async function requireRegister (
  client: EntryClient, kind: PublishedKind, name: string
): Promise<ConfigurationRegister> {
  const register = await readRegister(client, kind, name)
  if (register.value !== null) return register
  throw new CommandFailure({ exit: 'unknown', detail: `There is no ${kind} '${name}'` })
}

/** Reads the versions of a register, newest first. */
export async function readHistory (
  client: EntryClient, kind: PublishedKind, name: string
): Promise<ConfigurationHistory> {
  return await client.request('GET', `${registerPath(kind, name)}/history`, ConfigurationHistory)
}

/** New value of a register. */
export interface Publication {
  readonly kind: PublishedKind
  readonly name: string
  /** `null` removes the register. */
  readonly value: unknown
  /** Version that the value replaces; `undefined` for the current version. */
  readonly replaces: number | undefined
}

/**
 * Publishes a register.
 *
 * @throws CommandFailure with exit `conflict` if the register no longer has the version that the publication replaces.
 */
export async function publishRegister (client: EntryClient, publication: Publication): Promise<ConfigurationAccepted> {
  const { kind, name, value } = publication
  const replaces = publication.replaces ?? (await readRegister(client, kind, name)).version
  return await client.request('PUT', registerPath(kind, name), ConfigurationAccepted, { replaces, value })
}
