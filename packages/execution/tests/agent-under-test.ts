/** The execution logic with ports that record calls, a clock set by the test, and an upstream that records starts. */
import {
  createAgentIdentity, createEntryIdentity, createInvariants, silentLogger, silentMetrics, type EntryIdentity
} from '@baobabpost/common'
import { createExecution, type Execution, type ExecutionOptions, type TaskRequest } from '@baobabpost/execution'
import type {
  Announce, Collected, DispatchGroup, LinkMessage, PartitionEpoch, Report, TaskOutcome
} from '@baobabpost/messages'

export const FIRST_ENTRY = createEntryIdentity('entry-1')
export const SECOND_ENTRY = createEntryIdentity('entry-2')
export const START_TIME = 1_700_000_000_000

export interface SentMessage {
  readonly to: EntryIdentity
  readonly message: LinkMessage
}

export interface AgentUnderTest {
  readonly execution: Execution
  readonly sent: SentMessage[]
  readonly seedAnnounces: Announce[]
  readonly startedTasks: TaskRequest[]
  readonly abortedTasks: string[]
  readonly removedEntries: EntryIdentity[]
  readonly violations: string[]
  now: () => number
  /** Advances the clock without a call to the agent, like a process pause. */
  advance: (milliseconds: number) => void
  tick: () => void
  receive: (from: EntryIdentity, message: LinkMessage) => void
  /** Makes the agent send a heartbeat, and acknowledges it as the given entry. */
  grantLease: (from?: EntryIdentity) => void
  succeed: (submission: string, index: number) => void
  flush: () => void
  /** Removes and returns all reports sent to an entry. */
  reports: (to?: EntryIdentity) => Report[]
  collected: (to?: EntryIdentity) => Collected[]
  /** Last outcome of all reports so far by `SUBMISSION/INDEX`, including reports that `reports` removed. */
  outcomes: Map<string, TaskOutcome>
}

export function createAgentUnderTest (
  overrides: Partial<ExecutionOptions> = {}, onStart: (task: TaskRequest) => void = () => {}
): AgentUnderTest {
  let now = START_TIME
  const sent: SentMessage[] = []
  const seedAnnounces: Announce[] = []
  const startedTasks: TaskRequest[] = []
  const abortedTasks: string[] = []
  const removedEntries: EntryIdentity[] = []
  const violations: string[] = []
  const outcomes = new Map<string, TaskOutcome>()

  function recordSentMessage (to: EntryIdentity, message: LinkMessage): void {
    sent.push({ to, message })
    if (message.method !== 'report') return
    for (const { submission, tasks } of message.parameters.submissions) {
      for (const { index, outcome } of tasks) outcomes.set(`${submission}/${index}`, outcome)
    }
  }

  const execution = createExecution({
    identity: createAgentIdentity('agent-1'),
    address: '127.0.0.1:7000',
    service: 'lending',
    failureDomain: 'dakar-1',
    slots: 2,
    connections: 10,
    outbox: { send: (to, message) => { recordSentMessage(to as EntryIdentity, message) }, append: () => {} },
    upstream: {
      startTask (task) {
        startedTasks.push(task)
        onStart(task)
      },
      abortTask: (submission, index) => { abortedTasks.push(`${submission}/${index}`) },
      probe: () => {}
    },
    entries: {
      setEntry: () => {},
      forgetEntry: identity => { removedEntries.push(identity) },
      sendToSeeds: message => {
        if (message.method === 'announce') seedAnnounces.push(message.parameters)
      }
    },
    invariants: createInvariants((invariant, detail) => { violations.push(`${invariant}: ${detail}`) }),
    logger: silentLogger,
    metrics: silentMetrics,
    ...overrides
  })

  function takeMessages<T> (to: EntryIdentity, select: (message: LinkMessage) => T | undefined): T[] {
    const taken: T[] = []
    for (const item of sent.splice(0)) {
      const selected = item.to === to ? select(item.message) : undefined
      if (selected === undefined) sent.push(item)
      else taken.push(selected)
    }
    return taken
  }

  function lastSequence (): number {
    const sequences = sent.flatMap(({ message }) => message.method === 'announce' ? [message.parameters.sequence] : [])
    return Math.max(...sequences, ...seedAnnounces.map(({ sequence }) => sequence))
  }

  return {
    execution,
    sent,
    seedAnnounces,
    startedTasks,
    abortedTasks,
    removedEntries,
    violations,
    outcomes,
    now: () => now,
    advance (milliseconds) { now += milliseconds },
    tick: () => { execution.tick(now) },
    receive: (from, message) => { execution.receive(from, message, now) },
    grantLease (from = FIRST_ENTRY) {
      now += 500
      execution.tick(now)
      execution.receive(from, announcedMessage(lastSequence(), [from]), now)
    },
    succeed (submission, index) {
      execution.handleResult(submission, index, { kind: 'succeeded', answer: { index }, answerBytes: 11 }, now)
    },
    flush: () => { execution.flush(now) },
    reports: (to = FIRST_ENTRY) => takeMessages(to, message => message.method === 'report' ? message.parameters : undefined),
    collected: (to = FIRST_ENTRY) => {
      return takeMessages(to, message => message.method === 'collected' ? message.parameters : undefined)
    }
  }
}

export function announcedMessage (
  sequence: number,
  entries: readonly EntryIdentity[] = [],
  standing: 'joined' | 'pending' | 'departed' = 'joined'
): LinkMessage {
  const addresses = entries.map((identity, index) => ({ identity, address: `127.0.0.1:${8000 + index}` }))
  return {
    method: 'announced',
    parameters: { sequence, standing, entries: addresses, registers: [], configurationPosition: 0 }
  }
}

/** Creates a message that tells one register without answering a heartbeat, unless `sequence` names one. */
export function registersMessage (register: string, version: number, value: unknown = {}, sequence = 0): LinkMessage {
  return {
    method: 'announced',
    parameters: {
      sequence, standing: 'joined', entries: [], registers: [{ register, version, value }], configurationPosition: 0
    }
  }
}

/** Creates a group of tasks with the given indexes, in partition 7 by default. */
export function createGroup (
  submission: string, indexes: readonly number[], overrides: Partial<DispatchGroup> = {}
): DispatchGroup {
  return {
    header: { submission, digest: 'd', taskCount: 2_000, customer: 'medina', template: 'lend' },
    ownership: { partition: 7, epoch: 1 },
    path: '/lend',
    timeoutMilliseconds: 5_000,
    parameters: {},
    urgent: false,
    startBefore: START_TIME + 60_000,
    tasks: indexes.map(index => ({ index, input: {} })),
    ...overrides
  }
}

export function dispatchMessage (...groups: readonly DispatchGroup[]): LinkMessage {
  return { method: 'dispatch', parameters: { groups, backlog: 0 } }
}

export function withdrawMessage (submission: string, indexes: readonly number[]): LinkMessage {
  return { method: 'withdraw', parameters: { selections: [{ submission, indexes }] } }
}

/** Creates a withdrawal with header and ownership, which the next owner of the partition can collect. */
export function ownedWithdrawMessage (
  submission: string, indexes: readonly number[], taskCount: number, ownership: PartitionEpoch
): LinkMessage {
  const header = { submission, digest: 'digest', taskCount, customer: 'medina', template: 'reserve-tool' }
  return { method: 'withdraw', parameters: { selections: [{ submission, indexes, origin: { header, ownership } }] } }
}

export function collectMessage (partition: number, epoch: number): LinkMessage {
  return { method: 'collect', parameters: { partitions: [{ partition, epoch }] } }
}

/** Creates the group of a single call, which belongs to no partition. */
export function createCall (request: string, overrides: Partial<DispatchGroup> = {}): DispatchGroup {
  const { ownership, ...group } = createGroup(request, [0], overrides)
  return ownership === undefined ? group : { ...group, header: { ...group.header, taskCount: 1 } }
}
