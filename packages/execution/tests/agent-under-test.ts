/** An agent's decisions with recording ports, a clock that the test moves and an upstream that counts starts. */
import {
  createAgentIdentity, createEntryIdentity, createInvariants, silentLogger, silentMetrics, type EntryIdentity
} from '@baobabpost/common'
import { createExecution, type Execution, type ExecutionOptions, type TaskRequest } from '@baobabpost/execution'
import type {
  Announce, Collected, DispatchGroup, LinkMessage, PartitionEpoch, Report, TaskOutcome
} from '@baobabpost/messages'

export const FIRST_ENTRY = createEntryIdentity('entry-1')
export const SECOND_ENTRY = createEntryIdentity('entry-2')
export const BEGIN = 1_700_000_000_000

export interface SentMessage {
  readonly to: EntryIdentity
  readonly message: LinkMessage
}

export interface AgentUnderTest {
  readonly execution: Execution
  readonly sent: SentMessage[]
  readonly seedAnnounces: Announce[]
  readonly started: TaskRequest[]
  readonly aborted: string[]
  readonly gone: EntryIdentity[]
  readonly violations: string[]
  now: () => number
  /** Lets time pass without the agent noticing, as a pause does. */
  pass: (milliseconds: number) => void
  tick: () => void
  receive: (from: EntryIdentity, message: LinkMessage) => void
  /** Lets an entry answer a heartbeat that is sent now. */
  grantLease: (from?: EntryIdentity) => void
  succeed: (submission: string, index: number) => void
  flush: () => void
  /** Takes out all reports to an entry. */
  reports: (to?: EntryIdentity) => Report[]
  collected: (to?: EntryIdentity) => Collected[]
  /** Outcomes by `SUBMISSION/INDEX` of all reports so far, also of those taken out. */
  outcomes: Map<string, TaskOutcome>
}

export function createAgentUnderTest (
  changes: Partial<ExecutionOptions> = {}, onStart: (task: TaskRequest) => void = () => {}
): AgentUnderTest {
  let now = BEGIN
  const sent: SentMessage[] = []
  const seedAnnounces: Announce[] = []
  const started: TaskRequest[] = []
  const aborted: string[] = []
  const gone: EntryIdentity[] = []
  const violations: string[] = []
  const outcomes = new Map<string, TaskOutcome>()

  function note (to: EntryIdentity, message: LinkMessage): void {
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
    outbox: { send: (to, message) => { note(to as EntryIdentity, message) }, append: () => {} },
    upstream: {
      startTask (task) {
        started.push(task)
        onStart(task)
      },
      abortTask: (submission, index) => { aborted.push(`${submission}/${index}`) },
      probe: () => {}
    },
    entries: {
      setEntry: () => {},
      forgetEntry: identity => { gone.push(identity) },
      sendToSeeds: message => {
        if (message.method === 'announce') seedAnnounces.push(message.parameters)
      }
    },
    invariants: createInvariants((invariant, detail) => { violations.push(`${invariant}: ${detail}`) }),
    logger: silentLogger,
    metrics: silentMetrics,
    ...changes
  })

  function take<T> (to: EntryIdentity, select: (message: LinkMessage) => T | undefined): T[] {
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
    started,
    aborted,
    gone,
    violations,
    outcomes,
    now: () => now,
    pass (milliseconds) { now += milliseconds },
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
    reports: (to = FIRST_ENTRY) => take(to, message => message.method === 'report' ? message.parameters : undefined),
    collected: (to = FIRST_ENTRY) => {
      return take(to, message => message.method === 'collected' ? message.parameters : undefined)
    }
  }
}

export function announcedMessage (
  sequence: number,
  entries: readonly EntryIdentity[] = [],
  standing: 'joined' | 'pending' | 'departed' = 'joined'
): LinkMessage {
  const addresses = entries.map((identity, place) => ({ identity, address: `127.0.0.1:${8000 + place}` }))
  return {
    method: 'announced',
    parameters: { sequence, standing, entries: addresses, registers: [], configurationPosition: 0 }
  }
}

/** A group whose tasks have the given indexes, in partition 7 unless the changes say otherwise. */
export function createGroup (
  submission: string, indexes: readonly number[], changes: Partial<DispatchGroup> = {}
): DispatchGroup {
  return {
    header: { submission, digest: 'd', taskCount: 2_000, customer: 'medina', template: 'lend' },
    ownership: { partition: 7, epoch: 1 },
    path: '/lend',
    timeoutMilliseconds: 5_000,
    parameters: {},
    urgent: false,
    startBefore: BEGIN + 60_000,
    tasks: indexes.map(index => ({ index, input: {} })),
    ...changes
  }
}

export function dispatchMessage (...groups: readonly DispatchGroup[]): LinkMessage {
  return { method: 'dispatch', parameters: { groups, backlog: 0 } }
}

export function withdrawMessage (submission: string, indexes: readonly number[]): LinkMessage {
  return { method: 'withdraw', parameters: { selections: [{ submission, indexes }] } }
}

/** A withdrawal that names who withdraws, so that a next owner can collect the record of it. */
export function recordMessage (
  submission: string, indexes: readonly number[], taskCount: number, ownership: PartitionEpoch
): LinkMessage {
  const header = { submission, digest: 'digest', taskCount, customer: 'medina', template: 'reserve-tool' }
  return { method: 'withdraw', parameters: { selections: [{ submission, indexes, origin: { header, ownership } }] } }
}

export function collectMessage (partition: number, epoch: number): LinkMessage {
  return { method: 'collect', parameters: { partitions: [{ partition, epoch }] } }
}

/** A group of a single call, which no partition owns. */
export function createCall (request: string, changes: Partial<DispatchGroup> = {}): DispatchGroup {
  const { ownership, ...group } = createGroup(request, [0], changes)
  return ownership === undefined ? group : { ...group, header: { ...group.header, taskCount: 1 } }
}
