/** Contract of the view that one entry has of agents and of other entries. */
import type { AgentIdentity, EntryIdentity } from '@baobabpost/common'
import type {
  AgentRegistration, Announce, EntryHeartbeat, EntryHeartbeatAnswer, LinkMessage, Outbox
} from '@baobabpost/messages'
import type { RegisterChange, RegisterProjection } from '@baobabpost/platform-log'

/** An agent as this entry sees it. */
export interface AgentView {
  readonly identity: AgentIdentity
  readonly address: string
  readonly service: string
  readonly failureDomain: string
  readonly slots: number
  readonly connections: number
  /** Unfinished tasks of this entry that the agent accepts. */
  readonly window: number
  /** Log offset up to which the agent has configuration. */
  readonly configurationPosition: number
  /** Version of the agent's register; `NEVER_WRITTEN` while it is not registered. */
  readonly registeredVersion: number
}

/** A live entry as this entry sees it. */
export interface EntryView {
  readonly identity: EntryIdentity
  readonly address: string
  readonly failureDomain: string
  readonly state: 'ready' | 'stopping'
  /** Log offset up to which it said to have applied records. */
  readonly position: number
  /** When this entry sent the last heartbeat that it answered, Unix milliseconds. */
  readonly answeredSentAt: number | undefined
}

/** What changed in the fleet, for the rest of the entry. */
export type MembershipEvent =
  /** The agent may get work; keyed work only if `joined`. Told again when its window, slots or standing change. */
  | { readonly kind: 'agent-usable', readonly agent: AgentView, readonly joined: boolean }
  /** Its heartbeats stopped: no new work, what it holds stays. */
  | { readonly kind: 'agent-suspected', readonly agent: AgentIdentity }
  /** It takes no new work and finishes what it holds. */
  | { readonly kind: 'agent-leaving', readonly agent: AgentIdentity }
  /** Its register says departed: what it holds and did not report is unknown unless `clean`. */
  | {
    readonly kind: 'agent-departed'
    readonly agent: AgentIdentity
    readonly changedAt: number
    readonly clean: boolean
  }
  /** Entries came, went, or changed their state. */
  | { readonly kind: 'entries-changed', readonly entries: readonly EntryView[] }

/** What the membership of an entry is made from. Times are milliseconds. */
export interface MembershipOptions {
  readonly identity: EntryIdentity
  /** Address of this entry's link. */
  readonly address: string
  readonly failureDomain: string
  readonly startedAt: number
  readonly keyWindowMilliseconds: number
  readonly projection: RegisterProjection
  readonly outbox: Outbox
  /** Sends to the link addresses of the settings, whose identities aren't known. */
  readonly sendToSeeds: (message: LinkMessage) => void
}

/** Agents and entries as one entry sees them. */
export interface Membership {
  /** Registers this entry and greets the seeds. */
  start: (now: number) => readonly MembershipEvent[]
  handleAnnounce: (announce: Announce, now: number) => readonly MembershipEvent[]
  handleEntryHeartbeat: (heartbeat: EntryHeartbeat, now: number) => readonly MembershipEvent[]
  handleEntryHeartbeatAnswer: (
    from: EntryIdentity, answer: EntryHeartbeatAnswer, now: number
  ) => readonly MembershipEvent[]
  /** Takes in what the log or a peer brought. */
  registersChanged: (changes: readonly RegisterChange[], now: number) => readonly MembershipEvent[]
  /** Sends heartbeats and judges silence; to be called about every 100 ms. */
  tick: (now: number) => readonly MembershipEvent[]
  /** This entry stops: its heartbeats say so. */
  stop: (now: number) => readonly MembershipEvent[]
  /** Removes this entry's registration; last act of a planned stop. */
  leave: (now: number) => void
  /** Agents that may get new work. */
  usableAgents: () => readonly AgentView[]
  /** Live entries with this one, sorted by identity. */
  liveEntries: () => readonly EntryView[]
  /** Registrations of all agents on the log, departed ones too. */
  registeredAgents: () => readonly AgentRegistration[]
}
