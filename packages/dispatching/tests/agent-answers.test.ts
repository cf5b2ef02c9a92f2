import { describe, expect, it } from 'vitest'
import { silentLogger } from '@baobabpost/common'
import { createDispatcher, type Dispatcher } from '@baobabpost/dispatching'
import { RUN_LEASE_BOUND_MILLISECONDS, type Start, type WatchAnswer } from '@baobabpost/fleet-calls'

const SIZE = { processor: 60_000, memory: 65_536, accelerators: 0 }

function answerOf (incarnation: string, clock: number): WatchAnswer {
  return {
    incarnation,
    clock,
    cleared: true,
    reports: [],
    room: { free: SIZE, waiting: [], releaseRate: 0, slowness: 1, failureShare: 0 },
    profile: { version: 1, service: 'desk', failureDomain: 'a', capacity: SIZE, labels: [], accepting: true }
  }
}

type AgentView = NonNullable<ReturnType<Dispatcher['agentFound']>>

interface TestEntry {
  readonly dispatcher: Dispatcher
  readonly starts: Array<{ readonly view: AgentView, readonly start: Start }>
  readonly agents: readonly AgentView[]
}

function createEntry (agentCount: number): TestEntry {
  const starts: TestEntry['starts'] = []
  const dispatcher = createDispatcher({
    entry: 'entry-1',
    incarnation: '1',
    failureDomain: 'a',
    logger: silentLogger,
    sendStart: (view, start) => { starts.push({ view, start }) },
    sendStop: () => {}
  })
  const agents: AgentView[] = []
  for (let number = 1; number <= agentCount; number += 1) {
    const view = dispatcher.agentFound(`agent-${number}`, `10.1.0.${number}:7720`)
    if (view !== undefined) agents.push(view)
  }
  return { dispatcher, starts, agents }
}

function submitTask (dispatcher: Dispatcher, estimateMilliseconds: number, now: number): void {
  dispatcher.submit({
    id: '0000000000000001',
    route: 'route',
    service: 'desk',
    priority: 0,
    specification: '{}',
    steps: [{
      taskCount: 1,
      size: { processor: 1_000, memory: 64, accelerators: 0 },
      estimateMilliseconds,
      dependsOn: [],
      label: undefined,
      rack: undefined,
      maximumPerUpstream: undefined
    }],
    maximumAttempts: 2,
    stretch: 1.6,
    targetLatencyMilliseconds: 60,
    arrivedAt: now,
    deadlineAt: now + 3_000
  }, () => {}, now)
}

describe('an answer of an agent that was started again', () => {
  it('does not end the runs of the next incarnation when it arrives late', () => {
    const { dispatcher, starts, agents } = createEntry(1)
    const [view] = agents
    if (view === undefined) throw new Error('expected a view of the new agent')
    dispatcher.watchAnswered(view, answerOf('former', 50_000), 0)
    dispatcher.watchAnswered(view, answerOf('next', 100), 1)
    submitTask(dispatcher, 100, 2)
    expect(starts).toHaveLength(1)
    dispatcher.watchAnswered(view, answerOf('former', 50_100), 10)
    dispatcher.watchAnswered(view, answerOf('next', 120), 30)
    dispatcher.tick(40)
    expect(starts).toHaveLength(1)
  })
})

describe('an agent that is busy with another run of a task', () => {
  // The task was started at another agent 30 ms later; a run takes up to 50 ms to stop, and longer if stops are lost.
  it('gets the task again, and no other agent does while that run may last', () => {
    const { dispatcher, starts, agents } = createEntry(2)
    for (const view of agents) dispatcher.watchAnswered(view, answerOf('1', 100), 0)
    submitTask(dispatcher, 1_000, 1)
    let lastBusyAt = 0
    const answerBusy = (now: number): void => {
      lastBusyAt = now
      const last = starts[starts.length - 1]
      if (last === undefined) throw new Error('expected a start')
      dispatcher.startAnswered(last.view, last.start, { ...answerOf('1', 100 + now), verdicts: ['busy'] }, now)
    }
    answerBusy(10)
    for (let now = 20; now < 10 + RUN_LEASE_BOUND_MILLISECONDS; now += 10) {
      const sent = starts.length
      for (const view of agents) dispatcher.watchAnswered(view, answerOf('1', 100 + now), now)
      dispatcher.tick(now)
      if (starts.length > sent) answerBusy(now)
    }
    expect(starts.length).toBeGreaterThan(5)
    expect(new Set(starts.map(({ view }) => view.name)).size).toBe(1)
    const held = starts[0]?.view
    if (held === undefined) throw new Error('expected a start')
    dispatcher.watchFailed(held, false, lastBusyAt)
    let now = lastBusyAt
    for (; now < 3_000 && starts.every(({ view }) => view === held); now += 10) {
      for (const view of agents) if (view !== held) dispatcher.watchAnswered(view, answerOf('1', 100 + now), now)
      dispatcher.tick(now)
    }
    expect(now).toBeGreaterThan(lastBusyAt + RUN_LEASE_BOUND_MILLISECONDS)
    expect(now).toBeLessThan(lastBusyAt + RUN_LEASE_BOUND_MILLISECONDS + 100)
  })
})
