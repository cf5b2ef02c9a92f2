import { describe, expect, it } from 'vitest'
import { silentLogger } from '@baobabpost/common'
import { createDispatcher, type AgentView, type JobAnswer, type JobRequest } from '@baobabpost/dispatching'
import type { RunReport, Start, TellOpenOrders, UpstreamProfile, WatchAnswer } from '@baobabpost/fleet-calls'

const SIZE = { processor: 60_000, memory: 65_536, accelerators: 0 }
const TASK = '0000000000000001.0.0.0'

function answerOf (
  clock: number, fields: Partial<WatchAnswer> = {}, profile: Partial<UpstreamProfile> = {}
): WatchAnswer {
  return {
    incarnation: '1',
    clock,
    cleared: true,
    reports: [],
    room: { free: SIZE, waiting: [], releaseRate: 0, slowness: 1, failureShare: 0 },
    profile: {
      version: 1, service: 'desk', failureDomain: 'a', capacity: SIZE, labels: [], accepting: true, ...profile
    },
    ...fields
  }
}

function requestAt (now: number, deadlineMilliseconds: number): JobRequest {
  return {
    id: '0000000000000001',
    route: 'route',
    service: 'desk',
    priority: 0,
    specification: '{}',
    steps: [{
      taskCount: 1,
      size: { processor: 1_000, memory: 64, accelerators: 0 },
      estimateMilliseconds: 100,
      dependsOn: [],
      label: undefined,
      rack: undefined,
      maximumPerUpstream: undefined
    }],
    maximumAttempts: 2,
    stretch: 4,
    targetLatencyMilliseconds: 3_000,
    arrivedAt: now,
    deadlineAt: now + deadlineMilliseconds
  }
}

/** Creates an entry with two agents, and returns its parts and the agent that got the only task. */
function sendTask (deadlineMilliseconds = 2_000) {
  const told: Array<{ readonly agent: string, readonly orders: TellOpenOrders['orders'] }> = []
  const starts: Array<{ readonly view: AgentView, readonly start: Start }> = []
  const answers: JobAnswer[] = []
  const dispatcher = createDispatcher({
    entry: 'entry-1',
    incarnation: '1',
    failureDomain: 'a',
    logger: silentLogger,
    sendStart: (view, start) => { starts.push({ view, start }) },
    sendStop: () => {},
    tellOpenOrders: ({ name }, orders) => { told.push({ agent: name, orders }) }
  })
  const agents = [1, 2].map(number => dispatcher.agentFound(`agent-${number}`, `10.1.0.${number}:7720`))
  for (const view of agents) if (view !== undefined) dispatcher.watchAnswered(view, answerOf(100), 0)
  dispatcher.submit(requestAt(1, deadlineMilliseconds), answer => { answers.push(answer) }, 1)
  const [first] = starts
  const other = agents.find(view => view !== undefined && view !== first?.view)
  if (first === undefined || other === undefined) throw new Error('expected an order and another agent')
  return { dispatcher, starts, answers, first, other, told }
}

const NOT_STARTED: RunReport = {
  sequence: 1, task: TASK, run: 1, outcome: 'not-started', reason: 'order unanswered', milliseconds: 150, openOrderMilliseconds: 500
}

describe('a task with an order that the next instance of its upstream may yet carry out', () => {
  it('goes to no other agent before that order is too old', () => {
    const { dispatcher, starts, first, other } = sendTask()
    dispatcher.watchAnswered(first.view, answerOf(200, { reports: [NOT_STARTED] }, { accepting: false }), 100)
    for (let now = 110; now < 600; now += 10) {
      dispatcher.watchAnswered(other, answerOf(now), now)
      dispatcher.tick(now)
    }
    expect(starts).toHaveLength(1)
    dispatcher.tick(610)
    expect(starts[1]?.view.name).toBe(other.name)
  })

  it('goes to the same agent at once', () => {
    const { dispatcher, starts, first } = sendTask()
    dispatcher.watchAnswered(first.view, answerOf(200, { reports: [NOT_STARTED] }), 100)
    dispatcher.tick(110)
    expect(starts[1]?.view.name).toBe(first.view.name)
  })

  // It may start after the answer, which says that it has not run and will not.
  it('is not refused as not run', () => {
    const { dispatcher, answers, first } = sendTask()
    const report = { ...NOT_STARTED, openOrderMilliseconds: 2_500 }
    dispatcher.watchAnswered(first.view, answerOf(200, { reports: [report] }, { accepting: false }), 100)
    for (let now = 110; now < 2_100; now += 10) dispatcher.tick(now)
    expect(answers).toMatchObject([{ kind: 'given-up' }])
  })

  it('that another entry had sent goes to no other agent before its agent takes it back', () => {
    const { dispatcher, starts, answers, first, other } = sendTask()
    const openOrders = [{ task: TASK, until: 3_000 }]
    dispatcher.startFailed(first.view, first.start, true, 5)
    dispatcher.watchAnswered(other, answerOf(200, {}, { version: 2, openOrders, accepting: false }), 10)
    for (let now = 20; now <= 500; now += 20) dispatcher.tick(now)
    expect(starts).toHaveLength(1)
    dispatcher.watchAnswered(other, answerOf(700, {}, { version: 3, accepting: false }), 510)
    dispatcher.watchAnswered(first.view, answerOf(701), 511)
    dispatcher.tick(520)
    expect(starts[1]?.view.name).toBe(first.view.name)
    expect(answers).toEqual([])
  })

  it('stays held when its agent, started again alone, has fenced the same instance', () => {
    const { dispatcher, starts, first, other } = sendTask()
    const report = { ...NOT_STARTED, openOrderMilliseconds: 2_900 }
    dispatcher.watchAnswered(first.view, answerOf(200, { reports: [report] }, { accepting: false }), 100)
    dispatcher.watchAnswered(first.view, answerOf(50, { incarnation: '2' }, { accepting: false }), 600)
    dispatcher.watchAnswered(other, answerOf(610), 610)
    dispatcher.tick(620)
    expect(starts).toHaveLength(1)
  })

  it('goes to no agent while two of them have such an order', () => {
    const { dispatcher, starts, first, other } = sendTask()
    const report = { ...NOT_STARTED, openOrderMilliseconds: 2_900 }
    dispatcher.watchAnswered(first.view, answerOf(200, { reports: [report] }, { accepting: false }), 100)
    dispatcher.watchAnswered(other, answerOf(210, {}, { version: 2, openOrders: [{ task: TASK, until: 510 }] }), 110)
    dispatcher.tick(120)
    expect(starts).toHaveLength(1)
  })

  // The caller sends its job again to an entry that the lost agent has not told.
  it('is kept by another agent when its agent answers no more, unless that has confirmed it', () => {
    const { dispatcher, first, other, told } = sendTask()
    dispatcher.watchFailed(first.view, false, 100)
    expect(told).toEqual([
      { agent: other.name, orders: [{ task: TASK, agent: first.view.name, incarnation: '1', milliseconds: 13_040 }] }
    ])
    const confirmed = sendTask()
    confirmed.dispatcher.watchAnswered(confirmed.first.view, answerOf(150, { confirmed: [{ task: TASK, run: 1 }] }), 50)
    confirmed.dispatcher.watchFailed(confirmed.first.view, false, 100)
    expect(confirmed.told).toEqual([])
  })

  it('that another agent keeps goes to no agent but its own', () => {
    const { dispatcher, starts, first, other } = sendTask()
    const keptOrders = [{ task: TASK, agent: 'agent-9', incarnation: '1', until: 1_110 }]
    dispatcher.startFailed(first.view, first.start, true, 5)
    dispatcher.watchAnswered(other, answerOf(110, {}, { version: 2, keptOrders }), 10)
    for (let now = 20; now < 1_010; now += 10) dispatcher.tick(now)
    expect(starts).toHaveLength(1)
    dispatcher.tick(1_010)
    expect(starts).toHaveLength(2)
  })

  it('that another agent keeps goes to any agent once its own answers and does not tell it', () => {
    const { dispatcher, starts, first, other } = sendTask()
    const keptOrders = [{ task: TASK, agent: first.view.name, incarnation: '1', until: 1_110 }]
    dispatcher.startFailed(first.view, first.start, true, 5)
    dispatcher.watchAnswered(first.view, answerOf(105, {}, { version: 2, accepting: false }), 6)
    dispatcher.watchAnswered(other, answerOf(110, {}, { version: 2, keptOrders }), 10)
    dispatcher.tick(20)
    expect(starts).toHaveLength(1)
    dispatcher.watchAnswered(first.view, answerOf(130, {}, { version: 2, accepting: false }), 30)
    dispatcher.tick(40)
    expect(starts[1]?.view.name).toBe(other.name)
  })

  it('goes to any agent once its own, which was cut off, tells anew that there is none', () => {
    const { dispatcher, starts, first, other } = sendTask(20_000)
    dispatcher.watchFailed(first.view, false, 100)
    for (let now = 110; now <= 1_400; now += 10) {
      dispatcher.watchAnswered(other, answerOf(100 + now), now)
      dispatcher.tick(now)
    }
    expect(starts).toHaveLength(1)
    expect(dispatcher.nextWatch(first.view).profileVersion).toBe(0)
    dispatcher.watchAnswered(first.view, answerOf(1_500, {}, { accepting: false }), 1_410)
    dispatcher.tick(1_420)
    expect(starts[1]?.view.name).toBe(other.name)
  })

  it('is told to other agents once and not at each tick while its agent is silent', () => {
    const { dispatcher, first, other, told } = sendTask(20_000)
    dispatcher.watchFailed(first.view, false, 100)
    for (let now = 110; now <= 5_000; now += 10) {
      if (now % 100 === 0) dispatcher.watchAnswered(other, answerOf(100 + now), now)
      if (now % 20 === 10) dispatcher.tick(now)
    }
    expect(told.length).toBeLessThanOrEqual(2)
  })
})
