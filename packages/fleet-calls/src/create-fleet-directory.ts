/** Directory of the fleet's members, learnt from seed addresses and from the processes' announcements to entries. */
import type { EventLogger } from '@baobabpost/common'
import type { CallClient } from './call-client.js'
import { createRowsDecoder, createSkippedRowsLog } from './decode-rows.js'
import { Member, type Announce, type AnnounceAnswer } from './entry-messages.js'
import { createMemberTable } from './member-table.js'

/** Interval of an agent's announcements to entries without recent contact, and of all to unknown addresses. */
const ANNOUNCE_INTERVAL_MILLISECONDS = 500
/** Interval of announcements to unknown addresses during startup. */
const STARTUP_ANNOUNCE_INTERVAL_MILLISECONDS = 100
/** Length of the startup phase; processes of a fleet that start together have found each other by its end. */
const STARTUP_MILLISECONDS = 8_000
/** Interval in which an entry announces itself to `ENTRIES_PER_INTERVAL` known entries, each in turn. */
const ENTRY_ANNOUNCE_INTERVAL_MILLISECONDS = 2_000
/** Bounds an entry's announcements: their rate does not grow with the number of entries. */
const ENTRIES_PER_INTERVAL = 4
/** Timeout of an announcement: an entry that has just started answers many of them. */
const ANNOUNCE_TIMEOUT_MILLISECONDS = 400
/**
 * Time within which its connection must be open during startup: nothing answers at a VM that is about to get its power
 * back, and the kernel of one that has it answers at once, however busy its processes are.
 */
const STARTUP_CONNECT_TIMEOUT_MILLISECONDS = 60
/**
 * One in so many attempts has no such limit, for an address that is far away or behind a full link. Others go on beside
 * it.
 */
const ATTEMPTS_FOR_A_PATIENT_ONE = 3
/** Least time since its last announcement after which a member is no longer reported to others. */
const MINIMUM_MEMBER_AGE_MILLISECONDS = 20_000
/** Intervals between its announcements that a live member may miss. */
const MISSED_ANNOUNCEMENTS = 3

const decodeMembers = createRowsDecoder(Member)

/** Directory of the fleet's members. */
export interface FleetDirectory {
  /** Handles a process's announcement. */
  handleAnnounce: (announce: Announce) => AnnounceAnswer
  /** Adds a member, or updates its address. */
  addMember: (member: Member) => void
  /** Forgets an agent that this process no longer calls; `onMember` is called when it announces itself again. */
  forgetAgent: (name: string) => void
  /** Addresses of the seeds and of all known entries, without this process. */
  entryAddresses: () => string[]
  close: () => void
}

export interface FleetDirectoryOptions {
  readonly self: Member
  /** Differs at each start of this process. */
  readonly incarnation: string
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

/** Last announcement to an address. */
interface Announcement {
  /** When it was sent. */
  readonly at: number
  /** Number of announcements to the address since its last answer. */
  readonly unanswered: number
  /** Revision up to which the entry at the address has told its members; undefined before its first answer. */
  readonly told: { readonly directory: string, readonly revision: number } | undefined
}

/**
 * Creates a directory and begins to announce this process.
 *
 * @example
 * const seeds = ['10.1.0.13:7720']
 * const directory = createFleetDirectory({
 *   self, incarnation, seeds, client, logger, now, onMember, hasRecentContact
 * })
 */
export function createFleetDirectory (options: FleetDirectoryOptions): FleetDirectory {
  const { self, client, now } = options
  const startedAt = now()
  const table = createMemberTable({
    self,
    incarnation: options.incarnation,
    maximumAge: () => Math.max(MINIMUM_MEMBER_AGE_MILLISECONDS, MISSED_ANNOUNCEMENTS * entryAnnounceInterval()),
    hasRecentContact: options.hasRecentContact
  })
  const logSkippedMembers = createSkippedRowsLog('members', options.logger, now)
  /** Names of the known entries by address. */
  const entryNames = new Map<string, string>()
  const announcements = new Map<string, Announcement>()
  const pendingAddresses = new Set<string>()

  function addMember (member: Member): void {
    if (!table.add(member, now())) return
    if (member.role === 'entry') {
      for (const [address, name] of entryNames) if (name === member.name) entryNames.delete(address)
      entryNames.set(member.address, member.name)
    }
    options.logger.info('member found', { member: member.name, memberRole: member.role, address: member.address })
    options.onMember(member)
  }

  function handleAnnounce (announce: Announce): AnnounceAnswer {
    addMember(announce.member)
    table.markSeen(announce.member.name, now())
    return table.answer(announce, now())
  }

  function entryAddresses (): string[] {
    const addresses = new Set(options.seeds)
    for (const { address } of table.withRole('entry')) addresses.add(address)
    addresses.delete(self.address)
    return [...addresses]
  }

  async function announceTo (address: string): Promise<void> {
    const last = announcements.get(address)
    const attempt = (last?.unanswered ?? 0) + 1
    const limit = connectTimeout(attempt)
    const isBlocking = limit !== undefined || !isStartingUp()
    announcements.set(address, { at: now(), told: last?.told, unanswered: attempt })
    if (isBlocking) pendingAddresses.add(address)
    try {
      const { directory, revision, members } = await client.call(address, 'announce', {
        member: self,
        digest: table.digestFor(self.role, now()),
        ...(last?.told === undefined ? {} : { since: last.told })
      }, ANNOUNCE_TIMEOUT_MILLISECONDS, limit)
      const at = announcements.get(address)?.at ?? now()
      const told = directory === undefined || revision === undefined ? undefined : { directory, revision }
      announcements.set(address, { at, told, unanswered: 0 })
      for (const member of decodeMembers(members, logSkippedMembers)) addMember(member)
    } catch (failure) {
      options.logger.debug('announcement got no answer', { address, reason: String(failure) })
    } finally {
      if (isBlocking) pendingAddresses.delete(address)
    }
  }

  /** Interval of this entry's announcements to one known entry. */
  function entryAnnounceInterval (): number {
    return ENTRY_ANNOUNCE_INTERVAL_MILLISECONDS * Math.max(1, entryNames.size / ENTRIES_PER_INTERVAL)
  }

  function isStartingUp (): boolean {
    return now() - startedAt < STARTUP_MILLISECONDS
  }

  /** Returns the time within which the connection of an attempt must be open; undefined without a limit. */
  function connectTimeout (attempt: number): number | undefined {
    if (!isStartingUp() || attempt % ATTEMPTS_FOR_A_PATIENT_ONE === 0) return undefined
    return STARTUP_CONNECT_TIMEOUT_MILLISECONDS
  }

  function announceInterval (entry: string | undefined): number {
    if (entry === undefined && isStartingUp()) return STARTUP_ANNOUNCE_INTERVAL_MILLISECONDS
    return self.role === 'entry' && entry !== undefined ? entryAnnounceInterval() : ANNOUNCE_INTERVAL_MILLISECONDS
  }

  /**
   * Announces this process where it is due.
   *
   * @returns whether all addresses have answered, or belong to entries with recent contact.
   */
  function announce (): boolean {
    let hasFoundAll = true
    for (const address of entryAddresses()) {
      const name = entryNames.get(address)
      if (name !== undefined && self.role === 'agent' && options.hasRecentContact(name)) continue
      const last = announcements.get(address)
      if (last?.told === undefined || last.unanswered > 0) hasFoundAll = false
      if (pendingAddresses.has(address)) continue
      if (now() - (last?.at ?? -Infinity) < announceInterval(name)) continue
      announceTo(address).catch(() => {})
    }
    return hasFoundAll
  }

  let timer: ReturnType<typeof setTimeout> | undefined
  function runAnnounceLoop (): void {
    const hasFoundAll = announce()
    timer = setTimeout(
      runAnnounceLoop,
      isStartingUp() && !hasFoundAll ? STARTUP_ANNOUNCE_INTERVAL_MILLISECONDS / 2 : ANNOUNCE_INTERVAL_MILLISECONDS / 2
    )
  }
  runAnnounceLoop()
  return { handleAnnounce, addMember, forgetAgent: table.remove, entryAddresses, close: () => { clearTimeout(timer) } }
}
