/** In-memory fake of the platform's log: registers that several ownership instances read. */
import { createInvariants, type AgentIdentity, type EntryIdentity } from '@baobabpost/common'
import type { AgentRegistration, Collected, LinkMessage, LogRecord, OwnerLeases, RegisterWrite, SubmissionHandover } from '@baobabpost/messages'
import { createOwnership, type Ownership, type PartitionState, type RegisterChange } from '../src/index.js'

export const START = 1_750_000_000_000
export const KEY_WINDOW_MILLISECONDS = 600_000
export const CLOCK_SKEW_MILLISECONDS = 2_000
const UUID = '00000000-0000-7000-8000-00000000000'

export function entryIdentity (number: number): EntryIdentity {
  return `entry-${number}@${UUID}${number}` as EntryIdentity
}

export function agentIdentity (number: number): AgentIdentity {
  return `agent-${number}@${UUID}${number}` as AgentIdentity
}

/** One entry of the fake fleet, with recorded calls of its ports. */
export interface FakeEntry {
  readonly identity: EntryIdentity
  readonly ownership: Ownership
  readonly sent: { to: string, message: LinkMessage }[]
  readonly appends: LogRecord['changes'][]
  readonly states: { partition: number, state: PartitionState }[]
  readonly exported: number[]
  readonly imported: { partition: number, submissions: readonly SubmissionHandover[] }[]
}

export class RegisterLog {
  offset = 0
  readonly registers = new Map<string, { version: number, value: unknown }>()
  readonly changes: RegisterChange[] = []
  readonly entries: FakeEntry[] = []
  readonly read = new Map<FakeEntry, number>()
  violations = 0

  createEntry (number: number, now: number = START, leases?: OwnerLeases): FakeEntry {
    const identity = entryIdentity(number)
    const sent: FakeEntry['sent'] = []
    const appends: FakeEntry['appends'] = []
    const states: FakeEntry['states'] = []
    const exported: number[] = []
    const imported: FakeEntry['imported'] = []
    const ownership = createOwnership({
      identity,
      startedAt: now,
      ...(leases === undefined ? {} : { leases }),
      keyWindowMilliseconds: KEY_WINDOW_MILLISECONDS,
      clockSkewMilliseconds: CLOCK_SKEW_MILLISECONDS,
      invariants: createInvariants(() => { this.violations += 1 }),
      ports: {
        outbox: {
          send: (to, message) => { sent.push({ to, message }) },
          append: changes => { appends.push(changes) }
        },
        partitionChanged: (partition, state) => { states.push({ partition, state }) },
        recordsCollected: () => {},
        exportPartition: partition => {
          exported.push(partition)
          return []
        },
        importPartition: (partition, submissions) => { imported.push({ partition, submissions }) }
      }
    })
    const entry = { identity, ownership, sent, appends, states, exported, imported }
    this.entries.push(entry)
    this.read.set(entry, 0)
    return entry
  }

  /** Appends one record; each of its writes is applied if `replaces` is the register's current version. */
  write (writes: readonly Omit<RegisterWrite, 'kind'>[]): number {
    this.offset += 1
    for (const { register, replaces, value } of writes) {
      const previousVersion = this.registers.get(register)?.version ?? 0
      if (previousVersion !== replaces) continue
      this.registers.set(register, { version: this.offset, value })
      this.changes.push({ register, version: this.offset, value, previousVersion })
    }
    return this.offset
  }

  set (register: string, value: unknown): number {
    return this.write([{ register, replaces: this.registers.get(register)?.version ?? 0, value }])
  }

  registerEntry (entry: FakeEntry, leases?: unknown): void {
    const registration = { identity: entry.identity, address: '127.0.0.1:1', failureDomain: 'a' }
    this.set(`entry/${entry.identity}`, leases === undefined ? registration : { ...registration, leases })
  }

  setAgent (number: number, state: 'joined' | 'departed', changedAt: number, clean: boolean = false): number {
    const identity = agentIdentity(number)
    const value: AgentRegistration = {
      identity, address: '127.0.0.1:2', service: 'lending', failureDomain: 'a', state, changedAt, clean
    }
    return this.set(`agent/${identity}`, value)
  }

  /** Appends the records that an entry has put into its outbox. */
  takeAppends (entry: FakeEntry): void {
    for (const changes of entry.appends.splice(0)) this.write(changes as readonly RegisterWrite[])
  }

  readToEnd (entry: FakeEntry, now: number): void {
    const from = this.read.get(entry) ?? 0
    this.read.set(entry, this.changes.length)
    entry.ownership.registersChanged(this.changes.slice(from), this.offset, now)
    entry.ownership.logReadToEnd(now, now)
  }

  /** Lets an entry append the claims and handovers that are due and read the log to its end. */
  claim (entry: FakeEntry, now: number): void {
    entry.ownership.tick(now)
    this.takeAppends(entry)
    this.readToEnd(entry, now)
  }

  live (now: number, ...entries: FakeEntry[]): void {
    for (const entry of entries) entry.ownership.setLiveEntries(entries.map(({ identity }) => identity), now)
  }
}

/** Returns the `collect` messages that an entry sent to an agent. */
export function collectsTo (entry: FakeEntry, number: number): Extract<LinkMessage, { method: 'collect' }>[] {
  const found: Extract<LinkMessage, { method: 'collect' }>[] = []
  for (const { to, message } of entry.sent) {
    if (to === agentIdentity(number) && message.method === 'collect') found.push(message)
  }
  return found
}

/** Returns an agent's answer, without records, to the last `collect` that it got. */
export function answerOf (entry: FakeEntry, number: number): Collected {
  const { partitions } = collectsTo(entry, number).at(-1)!.parameters
  return { partitions, part: 0, parts: 1, submissions: [] }
}
