/**
 * Measures what tasks and messages cost on a link over loopback HTTP: encoding, transfer and validation, at both ends.
 */
import {
  createAgentIdentity, createEntryIdentity, createSubmissionKey, silentLogger, silentMetrics
} from '@baobabpost/common'
import { createLink, type Link } from '@baobabpost/link'
import type { Dispatch, LinkMessage, Report } from '@baobabpost/messages'
import type { CostPoint } from '../fit-slope.js'
import { measureProcessorMicroseconds } from '../measure.js'
import type { ProbeResult } from '../probe.js'

const KEYS = ['capacity-shared-key']
const SIZES = [1, 5, 20, 50, 100, 200]
const WARM_UP_ROUNDS = 200
const ROUNDS = 200
const REPETITIONS = 3

/** The links of an entry and an agent, which exchange one dispatch and one report per round. */
interface LinkPair {
  readonly entry: Link
  readonly agent: Link
  /** Sends a dispatch of the given number of tasks and waits for its report. */
  round: (tasks: number) => Promise<void>
  close: () => Promise<void>
}

function createDispatch (tasks: number): Dispatch {
  const now = Date.now()
  return {
    groups: [{
      header: {
        submission: createSubmissionKey(now), digest: 'd'.repeat(64), taskCount: tasks, customer: 'medina', template: 'checkout'
      },
      ownership: { partition: 7, epoch: 41 },
      path: '/checkout',
      timeoutMilliseconds: 5_000,
      parameters: { desk: 'medina' },
      urgent: false,
      startBefore: now + 1_000,
      tasks: Array.from({ length: tasks }, (_, index) => ({ index, input: { tool: `drill-${index}` } }))
    }],
    backlog: tasks
  }
}

function createReport (dispatch: Dispatch): Report {
  return {
    sequence: 1,
    submissions: dispatch.groups.map(({ header, tasks }) => ({
      submission: header.submission,
      tasks: tasks.map(({ index }) => ({ index, outcome: { status: 'succeeded', answer: { ok: true } }, runMilliseconds: 80 }))
    })),
    window: 10
  }
}

async function createPair (): Promise<LinkPair> {
  const entryIdentity = createEntryIdentity('entry-1')
  const agentIdentity = createAgentIdentity('agent-1')
  let resolveRound: () => void = () => {}
  const shared = { listenAddress: '127.0.0.1:0', keys: KEYS, logger: silentLogger, metrics: silentMetrics }
  const agent: Link = await createLink({
    ...shared,
    identity: agentIdentity,
    onMessage: (from, _address, message) => {
      if (message.method === 'dispatch') agent.send(from, { method: 'report', parameters: createReport(message.parameters) })
    }
  })
  const entry = await createLink({
    ...shared,
    identity: entryIdentity,
    onMessage: (_from, _address, message) => { if (message.method === 'report') resolveRound() }
  })
  entry.setPeer(agentIdentity, agent.address)
  agent.setPeer(entryIdentity, entry.address)
  return {
    entry,
    agent,
    round (tasks) {
      const message: LinkMessage = { method: 'dispatch', parameters: createDispatch(tasks) }
      return new Promise(resolve => {
        resolveRound = resolve
        entry.send(agentIdentity, message)
      })
    },
    async close () {
      await entry.close()
      await agent.close()
    }
  }
}

async function measureRounds (pair: LinkPair, tasks: number): Promise<{ time: CostPoint, bytes: CostPoint }> {
  const bytesOf = (): number => pair.entry.statistics().bytes + pair.agent.statistics().bytes
  const bytesBefore = bytesOf()
  const microseconds = await measureProcessorMicroseconds(async () => {
    for (let round = 0; round < ROUNDS; round += 1) await pair.round(tasks)
  })
  return {
    time: { size: tasks, cost: microseconds / ROUNDS },
    bytes: { size: tasks, cost: (bytesOf() - bytesBefore) / ROUNDS }
  }
}

/** Measures a dispatch and its report by number of tasks; the cost at size 0 is that of two empty messages. */
export async function probeLink (): Promise<readonly ProbeResult[]> {
  const pair = await createPair()
  for (const tasks of SIZES) {
    for (let round = 0; round < WARM_UP_ROUNDS; round += 1) await pair.round(tasks)
  }
  const leastCosts = new Map<number, { time: CostPoint, bytes: CostPoint }>()
  for (let repetition = 0; repetition < REPETITIONS; repetition += 1) {
    for (const tasks of SIZES) {
      const run = await measureRounds(pair, tasks)
      const before = leastCosts.get(tasks)
      if (before === undefined || run.time.cost < before.time.cost) leastCosts.set(tasks, run)
    }
  }
  await pair.close()
  const measured = [...leastCosts.values()]
  return [
    { per: 'task', cost: 'link: microseconds at both ends, dispatch and report', points: measured.map(result => result.time) },
    { per: 'task', cost: 'link: bytes of bodies, dispatch and report', points: measured.map(result => result.bytes) }
  ]
}
