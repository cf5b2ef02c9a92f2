/** Members of the fleet as one process knows them, and what of them another process still has to be told. */
import { createHash } from 'node:crypto'
import type { Announce, AnnounceAnswer, Member } from './entry-messages.js'

/** Table of the members. All times are on the process's steady clock, in milliseconds. */
export interface MemberTable {
  /** Adds a member or updates its address. Returns whether anything has changed. */
  add: (member: Member, now: number) => boolean
  /** Removes a member, which is new again when it is next added. */
  remove: (name: string) => void
  /** Records that a member was in contact with this process. */
  markSeen: (name: string, now: number) => void
  /** Members of a role. */
  withRole: (role: Member['role']) => Iterable<Member>
  /** Digest of the live members that a process of a role needs to know, this process included. */
  digestFor: (role: Member['role'], now: number) => number
  /** Answers an announcement with the members that the announced process lacks. */
  answer: (announce: Announce, now: number) => AnnounceAnswer & { readonly members: readonly Member[] }
}

export interface MemberTableOptions {
  readonly self: Member
  /** Differs at each start of the process: revisions count from its start. */
  readonly incarnation: string
  /** Time without contact after which a member is no longer told to others, in milliseconds. */
  readonly maximumAge: () => number
  /** Whether a member, given by name, has had recent contact by other calls; it then counts as live. */
  readonly hasRecentContact: (name: string) => boolean
}

interface KnownMember {
  member: Member
  readonly role: Member['role']
  hash: number
  lastSeenAt: number
  /** Revision of the table at the member's last change. */
  revision: number
  /** Whether the member was live when it was last looked at. */
  isLive: boolean
}

function hashOf (member: Member): number {
  return createHash('sha256').update(`${member.role} ${member.name} ${member.address}`).digest().readUInt32BE()
}

/**
 * Creates a table that knows only this process.
 *
 * An answer lists nothing to a process whose live members have the same digest, and otherwise only what has changed
 * since the last answer to that process. The bytes of a fleet's announcements so grow with its changes, not with its
 * size. A process that restarted, or whose table was lost, gets the whole list again.
 *
 * @example
 * const table = createMemberTable({ self, incarnation, maximumAge: () => 20_000, hasRecentContact: () => false })
 * table.answer({ member, digest: 0 }, now).members
 */
export function createMemberTable (options: MemberTableOptions): MemberTable {
  const { self, incarnation, maximumAge, hasRecentContact } = options
  const selfHash = hashOf(self)
  const members = new Map<string, KnownMember>()
  let revision = 0

  /** Whether a member counts as live; one that has become live again is told to others again. */
  function isLive (known: KnownMember, now: number): boolean {
    const isLiveNow = now - known.lastSeenAt <= maximumAge() || hasRecentContact(known.member.name)
    if (isLiveNow && !known.isLive) known.revision = revision += 1
    known.isLive = isLiveNow
    return isLiveNow
  }

  /** Agents need to know the entries only. */
  function isNeededBy (role: Member['role'], known: Pick<Member, 'role'>): boolean {
    return role === 'entry' || known.role === 'entry'
  }

  function digestFor (role: Member['role'], now: number): number {
    let digest = isNeededBy(role, self) ? selfHash : 0
    for (const known of members.values()) {
      if (isNeededBy(role, known) && isLive(known, now)) digest ^= known.hash
    }
    return digest >>> 0
  }

  return {
    add: (member, now) => {
      if (member.name === self.name) return false
      const known = members.get(member.name)
      if (known !== undefined && known.member.address === member.address) return false
      revision += 1
      members.set(member.name, {
        member, role: member.role, hash: hashOf(member), lastSeenAt: now, revision, isLive: true
      })
      return true
    },
    remove: name => { members.delete(name) },
    markSeen: (name, now) => {
      const known = members.get(name)
      if (known !== undefined) known.lastSeenAt = now
    },
    withRole: function * (role) {
      for (const known of members.values()) if (known.role === role) yield known.member
    },
    digestFor,
    answer: ({ member, digest, since }, now) => {
      const digestHere = digestFor(member.role, now)
      if (digest === digestHere) return { directory: incarnation, revision, members: [] }
      const toldRevision = since?.directory === incarnation ? since.revision : undefined
      const told: Member[] = toldRevision === undefined ? [self] : []
      for (const known of members.values()) {
        if (!isNeededBy(member.role, known) || !known.isLive || known.revision <= (toldRevision ?? 0)) continue
        if (known.member.name !== member.name) told.push(known.member)
      }
      return { directory: incarnation, revision, members: told }
    }
  }
}
