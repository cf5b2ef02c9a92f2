/** Contract of membership: the state of agents and of other entries, as one entry sees them. */
import type { AgentIdentity, EntryIdentity } from '@baobabpost/common'
import type {
  AgentRegistration, Announce, EntryHeartbeat, EntryHeartbeatAnswer, LinkMessage, Outbox, OwnerLeases
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
  /** Maximum number of unfinished tasks that the agent accepts from this entry. */
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
  /** Log offset up to which the entry has applied records, by its own report. */
  readonly position: number
  /** Unix time in milliseconds at which this entry sent the newest heartbeat that the other entry answered. */
  readonly answeredSentAt: number | undefined
}

/** A change in the fleet, reported to the other components of the entry. */
export type MembershipEvent =
  /** The agent may get calls, and jobs if `joined`. Repeated when its window, slots or registration change. */
  | { readonly kind: 'agent-usable', readonly agent: AgentView, readonly joined: boolean }
  /** The agent's heartbeats stopped: it gets no new work and keeps the tasks that it holds. */
  | { readonly kind: 'agent-suspected', readonly agent: AgentIdentity }
  /** The agent accepts no new work and finishes the tasks that it holds. */
  | { readonly kind: 'agent-leaving', readonly agent: AgentIdentity }
  /** The agent's register says departed: outcomes of tasks that it did not report are unknown unless `clean`. */
  | {
    readonly kind: 'agent-departed'
    readonly agent: AgentIdentity
    readonly changedAt: number
    readonly clean: boolean
  }
  /** Entries joined, left or changed their state. */
  | { readonly kind: 'entries-changed', readonly entries: readonly EntryView[] }

export interface MembershipOptions {
  readonly identity: EntryIdentity
  /** Address of this entry's link. */
  readonly address: string
  readonly failureDomain: string
  /** Leases that this entry keeps as the owner of partitions, told to the others. */
  readonly ownerLeases: OwnerLeases
  /** Unix time in milliseconds. */
  readonly startedAt: number
  /** Time for which submission keys are remembered. */
  readonly keyWindowMilliseconds: number
  readonly projection: RegisterProjection
  readonly outbox: Outbox
  /** Sends to the configured link addresses; the identities of the entries there are not known yet. */
  readonly sendToSeeds: (message: LinkMessage) => void
}

/** Agents and entries as one entry sees them. */
export interface Membership {
  /** Registers this entry and sends a first heartbeat to the configured addresses. */
  start: (now: number) => readonly MembershipEvent[]
  handleAnnounce: (announce: Announce, now: number) => readonly MembershipEvent[]
  handleEntryHeartbeat: (heartbeat: EntryHeartbeat, now: number) => readonly MembershipEvent[]
  handleEntryHeartbeatAnswer: (
    from: EntryIdentity, answer: EntryHeartbeatAnswer, now: number
  ) => readonly MembershipEvent[]
  /** Applies register changes from the log or from a peer. */
  registersChanged: (changes: readonly RegisterChange[], now: number) => readonly MembershipEvent[]
  /** Sends heartbeats and checks for missing ones; call it about every 100 ms. */
  tick: (now: number) => readonly MembershipEvent[]
  /** Announces in heartbeats that this entry is shutting down. */
  stop: (now: number) => readonly MembershipEvent[]
  /** Removes this entry's registration; the last step of a graceful shutdown. */
  leave: (now: number) => void
  /** Agents that may get new work. */
  usableAgents: () => readonly AgentView[]
  /** Live entries, including this one, sorted by identity. */
  liveEntries: () => readonly EntryView[]
  /** Registrations of all agents on the log, including departed ones. */
  registeredAgents: () => readonly AgentRegistration[]
}
