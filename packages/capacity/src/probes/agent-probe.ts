/**
 * Measures the cost of a task and of an entry at an agent, without sockets and with a simulated upstream that answers
 * immediately.
 */
import {
  createAgentIdentity, createEntryIdentity, createInvariants, createSubmissionKey, silentLogger, silentMetrics,
  type EntryIdentity
} from '@baobabpost/common'
import { createExecution, type Execution } from '@baobabpost/execution'
import type { DispatchGroup, LinkMessage } from '@baobabpost/messages'
import type { CostPoint } from '../fit-slope.js'
import { measureHeapBytes, measureMinimum, measureMicroseconds } from '../measure.js'
import type { ProbeResult } from '../probe.js'

const SLOTS = 64
const TASKS_PER_GROUP = 20
const HEARTBEAT_MILLISECONDS = 500
const HEARTBEAT_ROUNDS = 1_000
const REPETITIONS = 3

/** An agent with a simulated upstream that answers immediately and simulated entries that acknowledge every report. */
interface ProbedAgent {
  readonly execution: Execution
  readonly entries: readonly EntryIdentity[]
  /** Returns the messages that the agent has sent since the last call. */
  readonly takeSent: () => readonly LinkMessage[]
  /** Completes started tasks and answers messages until none are left; returns the number of reported tasks. */
  answerMessages: (now: number) => number
}

function createProbedAgent (entryCount: number, startedAt: number): ProbedAgent {
  const entries = Array.from({ length: entryCount }, (_, entryNumber) => createEntryIdentity(`entry-${entryNumber}`))
  const addresses = entries.map((identity, entryNumber) => ({ identity, address: `10.0.0.${entryNumber}:7001` }))
  const outgoing: Array<{ to: EntryIdentity, message: LinkMessage }> = []
  const started: Array<{ submission: string, index: number }> = []
  let sent: LinkMessage[] = []
  const execution = createExecution({
    identity: createAgentIdentity('agent-1'),
    address: '10.1.0.1:7101',
    service: 'lending',
    failureDomain: 'dakar-1',
    slots: SLOTS,
    connections: 60,
    heartbeatMilliseconds: HEARTBEAT_MILLISECONDS,
    outbox: {
      send: (to, message) => {
        sent.push(message)
        outgoing.push({ to: to as EntryIdentity, message })
      },
      append: () => {}
    },
    upstream: {
      startTask: ({ submission, index }) => { started.push({ submission, index }) },
      abortTask: () => {},
      probe: () => {}
    },
    entries: {
      setEntry: () => {},
      forgetEntry: () => {},
      sendToSeeds: message => { outgoing.push({ to: entries[0] as EntryIdentity, message }) }
    },
    invariants: createInvariants((invariant, detail) => { throw new Error(`${invariant}: ${detail}`) }),
    logger: silentLogger,
    metrics: silentMetrics
  })

  function answer (to: EntryIdentity, message: LinkMessage, now: number): number {
    if (message.method === 'announce') {
      execution.receive(to, {
        method: 'announced',
        parameters: {
          sequence: message.parameters.sequence,
          standing: 'joined',
          entries: addresses,
          registers: [],
          configurationPosition: 0
        }
      }, now)
    }
    if (message.method !== 'report') return 0
    execution.receive(to, { method: 'acknowledge', parameters: { sequences: [message.parameters.sequence] } }, now)
    return message.parameters.submissions.reduce((sum, part) => sum + part.tasks.length, 0)
  }

  function answerMessages (now: number): number {
    let reported = 0
    for (;;) {
      const finishedTasks = started.splice(0)
      for (const { submission, index } of finishedTasks) {
        execution.handleResult(submission, index, { kind: 'succeeded', answer: { ok: true }, answerBytes: 11 }, now)
      }
      execution.flush(now)
      const messages = outgoing.splice(0)
      for (const { to, message } of messages) reported += answer(to, message, now)
      if (finishedTasks.length === 0 && messages.length === 0) return reported
    }
  }

  for (let round = 0; round < 3; round += 1) {
    execution.tick(startedAt - HEARTBEAT_MILLISECONDS * (3 - round))
    answerMessages(startedAt - HEARTBEAT_MILLISECONDS * (3 - round))
  }
  execution.tick(startedAt)
  answerMessages(startedAt)
  function takeSent (): readonly LinkMessage[] {
    const taken = sent
    sent = []
    return taken
  }

  return { execution, entries, takeSent, answerMessages }
}

function createGroup (now: number): DispatchGroup {
  return {
    header: {
      submission: createSubmissionKey(now),
      digest: 'd'.repeat(64),
      taskCount: TASKS_PER_GROUP,
      customer: 'medina',
      template: 'checkout'
    },
    ownership: { partition: 7, epoch: 41 },
    path: '/checkout',
    timeoutMilliseconds: 5_000,
    parameters: { desk: 'medina' },
    urgent: false,
    startBefore: now + 1_000,
    tasks: Array.from({ length: TASKS_PER_GROUP }, (_, index) => ({ index, input: { tool: `drill-${index}` } }))
  }
}

/** Dispatches tasks to the agent and returns the number of tasks that it reported. */
function runTasks (agent: ProbedAgent, tasks: number, now: number): number {
  const [owner] = agent.entries
  if (owner === undefined) throw new Error('the probed agent needs at least one entry')
  let reported = 0
  for (let group = 0; group < tasks / TASKS_PER_GROUP; group += 1) {
    const dispatch = { groups: [createGroup(now)], backlog: TASKS_PER_GROUP }
    agent.execution.receive(owner, { method: 'dispatch', parameters: dispatch }, now)
    reported += agent.answerMessages(now)
    agent.takeSent()
  }
  return reported
}

function measureTasks (tasks: number): { time: CostPoint, memory: CostPoint } {
  const now = Date.now()
  const agent = createProbedAgent(3, now)
  if (runTasks(agent, 2_000, now) !== 2_000) throw new Error('the agent did not report all 2000 warm-up tasks')
  const heapBefore = measureHeapBytes()
  const microseconds = measureMicroseconds(() => { runTasks(agent, tasks, now) })
  const bytes = measureHeapBytes() - heapBefore
  if (agent.execution.snapshot().rememberedTasks < tasks) throw new Error(`the agent remembers fewer than ${tasks} tasks`)
  return { time: { size: tasks, cost: microseconds }, memory: { size: tasks, cost: bytes } }
}

/** Measures the processor time and bytes of one second of heartbeats for a number of entries. */
function measureHeartbeats (entryCount: number): { time: CostPoint, bytes: CostPoint } {
  const startedAt = Date.now()
  const agent = createProbedAgent(entryCount, startedAt)
  const seconds = HEARTBEAT_ROUNDS * HEARTBEAT_MILLISECONDS / 1_000
  agent.takeSent()
  const microseconds = measureMicroseconds(() => {
    for (let round = 1; round <= HEARTBEAT_ROUNDS; round += 1) {
      const now = startedAt + round * HEARTBEAT_MILLISECONDS
      agent.execution.tick(now)
      agent.answerMessages(now)
    }
  })
  const bytes = agent.takeSent().reduce((sum, message) => sum + JSON.stringify(message).length, 0)
  return {
    time: { size: entryCount, cost: microseconds / seconds }, bytes: { size: entryCount, cost: bytes / seconds }
  }
}

/** Measures processor time and memory of a task, and processor time and bytes of heartbeats to an entry. */
export function probeAgent (): Promise<readonly ProbeResult[]> {
  const tasks = [5_000, 10_000, 20_000, 40_000].map(size => {
    const runs = Array.from({ length: REPETITIONS }, () => measureTasks(size))
    const minimum = measureMinimum(REPETITIONS, () => runs.pop()?.time.cost ?? Number.POSITIVE_INFINITY)
    return { time: { size, cost: minimum }, memory: measureTasks(size).memory }
  })
  const heartbeats = [6, 12, 24, 48].map(measureHeartbeats)
  return Promise.resolve([
    { per: 'task', cost: 'agent: microseconds of decisions', points: tasks.map(result => result.time) },
    { per: 'task', cost: 'agent: bytes of memory for the key window', points: tasks.map(result => result.memory) },
    { per: 'entry', cost: 'agent: microseconds a second of heartbeats', points: heartbeats.map(result => result.time) },
    { per: 'entry', cost: 'agent: bytes a second of heartbeats sent', points: heartbeats.map(result => result.bytes) }
  ])
}
