/** Directory of the fleet's members, learnt from seed addresses and from the processes' announcements to entries. */
import type { EventLogger } from '@baobabpost/common'
import type { CallClient } from './call-client.js'
import type { Announce, AnnounceAnswer, Member } from './entry-messages.js'

/** Interval of an agent's announcements to entries without recent contact, and of all to unknown addresses. */
const ANNOUNCE_INTERVAL_MILLISECONDS = 500
/** Interval of announcements to unknown addresses during startup. */
const STARTUP_ANNOUNCE_INTERVAL_MILLISECONDS = 100
/** Length of the startup phase; processes of a fleet that start together have found each other by its end. */
const STARTUP_MILLISECONDS = 8_000
/** Interval of an entry's announcements to known entries. */
const ENTRY_ANNOUNCE_INTERVAL_MILLISECONDS = 2_000
/** Timeout of an announcement. */
const ANNOUNCE_TIMEOUT_MILLISECONDS = 400
/** Time since its last announcement after which a member is no longer reported to others. */
const MAXIMUM_MEMBER_AGE_MILLISECONDS = 20_000

/** Directory of the fleet's members. */
export interface FleetDirectory {
  /** Handles a process's announcement. */
  handleAnnounce: (announce: Announce) => AnnounceAnswer
  /** Adds a member, or updates its address. */
  addMember: (member: Member) => void
  /** Addresses of the seeds and of all known entries, without this process. */
  entryAddresses: () => string[]
  close: () => void
}

export interface FleetDirectoryOptions {
  readonly self: Member
  /** Addresses of possible entries, as `IP:PORT`. */
  readonly seeds: readonly string[]
  readonly client: CallClient
  readonly logger: EventLogger
  /** Steady clock in milliseconds. */
  readonly now: () => number
  /** Called with each new member, and with each member whose address has changed. */
  readonly onMember: (member: Member) => void
  /** Whether a member, given by name, has had recent contact by other calls; it then counts as alive. */
  readonly hasRecentContact: (member: string) => boolean
}

interface KnownMember {
  member: Member
  lastSeenAt: number
}

/**
 * Creates a directory and begins to announce this process.
 *
 * @example
 * const seeds = ['10.1.0.13:7720']
 * const directory = createFleetDirectory({ self, seeds, client, logger, now, onMember, hasRecentContact })
 */
export function createFleetDirectory (options: FleetDirectoryOptions): FleetDirectory {
  const { self, client, now } = options
  const startedAt = now()
  const members = new Map<string, KnownMember>()
  const announcedAt = new Map<string, number>()
  const pendingAddresses = new Set<string>()

  function addMember (member: Member): void {
    if (member.name === self.name) return
    const known = members.get(member.name)
    if (known !== undefined && known.member.address === member.address) return
    members.set(member.name, { member, lastSeenAt: now() })
    options.logger.info('member found', { member: member.name, memberRole: member.role, address: member.address })
    options.onMember(member)
  }

  function handleAnnounce ({ member }: Announce): AnnounceAnswer {
    addMember(member)
    const known = members.get(member.name)
    if (known !== undefined) known.lastSeenAt = now()
    const reportedMembers: Member[] = [self]
    for (const other of members.values()) {
      if (
        now() - other.lastSeenAt > MAXIMUM_MEMBER_AGE_MILLISECONDS && !options.hasRecentContact(other.member.name)
      ) continue
      if (other.member.role === 'entry' || member.role === 'entry') reportedMembers.push(other.member)
    }
    return { members: reportedMembers }
  }

  function entryAddresses (): string[] {
    const addresses = new Set(options.seeds)
    for (const { member } of members.values()) {
      if (member.role === 'entry') addresses.add(member.address)
    }
    addresses.delete(self.address)
    return [...addresses]
  }

  function entryNameAt (address: string): string | undefined {
    for (const { member } of members.values()) {
      if (member.role === 'entry' && member.address === address) return member.name
    }
    return undefined
  }

  async function announceTo (address: string): Promise<void> {
    pendingAddresses.add(address)
    try {
      const answer = await client.call(address, 'announce', { member: self }, ANNOUNCE_TIMEOUT_MILLISECONDS)
      for (const member of answer.members) addMember(member)
    } catch (failure) {
      options.logger.debug('announcement got no answer', { address, reason: String(failure) })
    } finally {
      pendingAddresses.delete(address)
      announcedAt.set(address, now())
    }
  }

  function announceInterval (entry: string | undefined): number {
    if (entry === undefined && now() - startedAt < STARTUP_MILLISECONDS) return STARTUP_ANNOUNCE_INTERVAL_MILLISECONDS
    return self.role === 'entry' && entry !== undefined
      ? ENTRY_ANNOUNCE_INTERVAL_MILLISECONDS
      : ANNOUNCE_INTERVAL_MILLISECONDS
  }

  function announce (): void {
    for (const address of entryAddresses()) {
      if (pendingAddresses.has(address)) continue
      const name = entryNameAt(address)
      if (name !== undefined && self.role === 'agent' && options.hasRecentContact(name)) continue
      const interval = announceInterval(name)
      if (now() - (announcedAt.get(address) ?? -Infinity) < interval) continue
      announceTo(address).catch(() => {})
    }
  }

  let timer: ReturnType<typeof setTimeout> | undefined
  function runAnnounceLoop (): void {
    announce()
    const isStartingUp = now() - startedAt < STARTUP_MILLISECONDS
    timer = setTimeout(
      runAnnounceLoop,
      isStartingUp ? STARTUP_ANNOUNCE_INTERVAL_MILLISECONDS / 2 : ANNOUNCE_INTERVAL_MILLISECONDS / 2
    )
  }
  runAnnounceLoop()
  return { handleAnnounce, addMember, entryAddresses, close: () => { clearTimeout(timer) } }
}
