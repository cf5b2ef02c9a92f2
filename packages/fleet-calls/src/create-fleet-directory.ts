/** Who is in the fleet: learnt from addresses given at start and from what processes announce to entries. */
import type { EventLogger } from '@baobabpost/common'
import type { CallClient } from './call-client.js'
import type { Announce, AnnounceAnswer, Member } from './entry-messages.js'

/** Interval at which a process announces itself to entries that have not been in touch. */
const ANNOUNCE_MILLISECONDS = 500
/** Interval at which a process announces itself to an entry that has never answered … */
const FIRST_ANNOUNCE_MILLISECONDS = 100
/** … for this long after its start; a fleet that starts all at once is complete by then. */
const STARTING_MILLISECONDS = 8_000
/** Interval at which an entry announces itself to the others. */
const REPEAT_MILLISECONDS = 2_000
/** Wait for the answer to an announcement. */
const ANNOUNCE_TIMEOUT_MILLISECONDS = 400
/** Time after which a member that has not announced itself is no longer told to others. */
const MEMBER_AGE_MILLISECONDS = 20_000

/** Who is in the fleet. */
export interface FleetDirectory {
  /** Answers a process that announces itself. */
  handleAnnounce: (announce: Announce) => AnnounceAnswer
  /** Notes a member that is known from elsewhere. */
  addMember: (member: Member) => void
  /** Addresses of the entries that are known, other than this process. */
  entryAddresses: () => string[]
  close: () => void
}

/** What a directory is made from. */
export interface FleetDirectoryOptions {
  readonly self: Member
  /** Addresses at which entries may be found. */
  readonly seeds: readonly string[]
  readonly client: CallClient
  readonly logger: EventLogger
  /** Steady clock in milliseconds. */
  readonly now: () => number
  /** Told of each member when it is first known or has moved. */
  readonly onMember: (member: Member) => void
  /** Whether a member has been in touch lately by other calls, so that it is alive and need not be told again. */
  readonly hasRecentContact: (member: string) => boolean
}

interface KnownMember {
  member: Member
  heardAt: number
}

/**
 * Makes a directory and begins to announce this process.
 *
 * @example
 * const directory = createDirectory({ self, seeds: ['10.1.0.13:7720'], client, logger, now, onMember, inTouch })
 */
export function createFleetDirectory (options: FleetDirectoryOptions): FleetDirectory {
  const { self, client, now } = options
  const startedAt = now()
  const members = new Map<string, KnownMember>()
  const toldAt = new Map<string, number>()
  const pending = new Set<string>()

  function addMember (member: Member): void {
    if (member.name === self.name) return
    const known = members.get(member.name)
    if (known !== undefined && known.member.address === member.address) return
    members.set(member.name, { member, heardAt: now() })
    options.logger.info('member found', { member: member.name, memberRole: member.role, address: member.address })
    options.onMember(member)
  }

  function handleAnnounce ({ member }: Announce): AnnounceAnswer {
    addMember(member)
    const known = members.get(member.name)
    if (known !== undefined) known.heardAt = now()
    const told: Member[] = [self]
    for (const other of members.values()) {
      if (now() - other.heardAt > MEMBER_AGE_MILLISECONDS && !options.hasRecentContact(other.member.name)) continue
      if (other.member.role === 'entry' || member.role === 'entry') told.push(other.member)
    }
    return { members: told }
  }

  function entryAddresses (): string[] {
    const addresses = new Set(options.seeds)
    for (const { member } of members.values()) {
      if (member.role === 'entry') addresses.add(member.address)
    }
    addresses.delete(self.address)
    return [...addresses]
  }

  function nameAt (address: string): string | undefined {
    for (const { member } of members.values()) {
      if (member.role === 'entry' && member.address === address) return member.name
    }
    return undefined
  }

  async function tell (address: string): Promise<void> {
    pending.add(address)
    try {
      const answer = await client.call(address, 'announce', { member: self }, ANNOUNCE_TIMEOUT_MILLISECONDS)
      for (const member of answer.members) addMember(member)
    } catch (failure) {
      options.logger.debug('announcement got no answer', { address, reason: String(failure) })
    } finally {
      pending.delete(address)
      toldAt.set(address, now())
    }
  }

  function announceInterval (entry: string | undefined): number {
    if (entry === undefined && now() - startedAt < STARTING_MILLISECONDS) return FIRST_ANNOUNCE_MILLISECONDS
    return self.role === 'entry' && entry !== undefined ? REPEAT_MILLISECONDS : ANNOUNCE_MILLISECONDS
  }

  function announce (): void {
    for (const address of entryAddresses()) {
      if (pending.has(address)) continue
      const name = nameAt(address)
      if (name !== undefined && self.role === 'agent' && options.hasRecentContact(name)) continue
      const interval = announceInterval(name)
      if (now() - (toldAt.get(address) ?? -Infinity) < interval) continue
      tell(address).catch(() => {})
    }
  }

  let timer: ReturnType<typeof setTimeout> | undefined
  function keepAnnouncing (): void {
    announce()
    const starting = now() - startedAt < STARTING_MILLISECONDS
    timer = setTimeout(keepAnnouncing, starting ? FIRST_ANNOUNCE_MILLISECONDS / 2 : ANNOUNCE_MILLISECONDS / 2)
  }
  keepAnnouncing()
  return { handleAnnounce: handleAnnounce, addMember: addMember, entryAddresses, close: () => { clearTimeout(timer) } }
}
