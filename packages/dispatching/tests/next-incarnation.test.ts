import { describe, expect, it } from 'vitest'
import { silentLogger } from '@baobabpost/common'
import { createDispatcher, type AgentView, type JobAnswer, type JobRequest } from '@baobabpost/dispatching'
import type { Start, Stop, UpstreamProfile, WatchAnswer } from '@baobabpost/fleet-calls'
import { createRunRegistry } from '@baobabpost/runs'

const SIZE = { processor: 60_000, memory: 65_536, accelerators: 0 }

function answerOf (
  clock: number, fields: Partial<WatchAnswer> = {}, profile: Partial<UpstreamProfile> = {}
): WatchAnswer {
  return {
    incarnation: '1',
    clock,
    cleared: true,
    reports: [],
    room: { free: SIZE, waiting: [], releaseRate: 0, slowness: 1, failureShare: 0 },
    profile: { version: 1, service: 'desk', failureDomain: 'a', capacity: SIZE, labels: [], accepting: true, ...profile },
    ...fields
  }
}

function requestAt (now: number, taskCount: number): JobRequest {
  return {
    id: '0000000000000001',
    route: 'route',
    service: 'desk',
    priority: 0,
    specification: '{}',
    steps: [{
      taskCount,
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
    deadlineAt: now + 2_000
  }
}

/** Creates an entry that has sent a job, and the next incarnation of its agent, which has not cleared its upstream. */
function sendJob (agentCount = 2, taskCount = 1) {
  const starts: Array<{ readonly view: AgentView, readonly start: Start }> = []
  const stops: Array<{ readonly view: AgentView, readonly stop: Stop }> = []
  const answers: JobAnswer[] = []
  const dispatcher = createDispatcher({
    entry: 'entry-1',
    incarnation: '1',
    failureDomain: 'a',
    logger: silentLogger,
    sendStart: (view, start) => { starts.push({ view, start }) },
    sendStop: (view, stop) => { stops.push({ view, stop }) }
  })
  for (let number = 1; number <= agentCount; number += 1) {
    const view = dispatcher.agentFound(`agent-${number}`, `10.1.0.${number}:7720`)
    if (view !== undefined) dispatcher.watchAnswered(view, answerOf(100), 0)
  }
  dispatcher.submit(requestAt(1, taskCount), answer => { answers.push(answer) }, 1)
  const [sent] = starts
  if (sent === undefined) throw new Error('expected an order')
  const { view, start } = sent
  const next = createRunRegistry({
    incarnation: '2',
    fencingToken: 7,
    logger: silentLogger,
    sendStart: () => {},
    sendStop: () => {},
    stopUnknownRun: () => {},
    listImmediately: () => {},
    wake: () => {}
  })
  /** Lets the next incarnation answer a watch and the stops that were sent. */
  const answerNext = (now: number): void => {
    for (const { stop } of stops.splice(0)) dispatcher.stopAnswered(view, next.answerStop(stop, now - 200), now)
    const watch = dispatcher.nextWatch(view)
    const session = next.beginWatch(watch, now - 200)
    dispatcher.watchAnswered(view, next.answerWatch(session, watch, now - 200), now)
  }
  const loseStops = (now: number): void => {
    stops.length = 0
    dispatcher.stopFailed(view, now)
  }
  const tickUntil = (from: number, until: number): void => {
    for (let now = from; now < until; now += 10) dispatcher.tick(now)
  }
  const agentsOfStarts = (): string[] => starts.map(({ view: { name } }) => name)
  return { dispatcher, answers, view, start, answerNext, loseStops, tickUntil, agentsOfStarts }
}

describe('the next incarnation of an agent, which has not cleared its upstream, does not free a task', () => {
  it('by the report that an order, whose job was sent again, had not arrived', () => {
    const { dispatcher, view, answerNext, tickUntil, agentsOfStarts } = sendJob()
    answerNext(250)
    dispatcher.submit(requestAt(260, 1), () => {}, 260)
    dispatcher.tick(261)
    answerNext(265)
    answerNext(270)
    tickUntil(275, 330)
    expect(agentsOfStarts()).toEqual([view.name])
  })

  it('by the report that an order, whose start call got no answer, had not arrived', () => {
    const { dispatcher, answers, view, start, answerNext, loseStops, tickUntil, agentsOfStarts } = sendJob()
    dispatcher.startFailed(view, start, false, 160)
    dispatcher.tick(161)
    loseStops(170)
    for (const now of [250, 260, 270]) answerNext(now)
    tickUntil(275, 330)
    expect(agentsOfStarts()).toEqual([view.name])
    expect(answers).toEqual([])
  })

  it('by refusing the second attempt of its start call as stale', () => {
    const { dispatcher, view, start, tickUntil, agentsOfStarts } = sendJob()
    const { reports: _reports, profile: _profile, ...state } = answerOf(5, { incarnation: '2', cleared: false })
    dispatcher.startAnswered(view, start, { ...state, verdicts: ['stale'] }, 300)
    tickUntil(310, 400)
    expect(agentsOfStarts()).toEqual([view.name])
  })

  it('so that its job is refused as not run', () => {
    const { dispatcher, answers, view, start, answerNext, loseStops, tickUntil } = sendJob(1)
    dispatcher.startFailed(view, start, false, 160)
    dispatcher.tick(161)
    loseStops(170)
    for (const now of [250, 260, 270]) answerNext(now)
    tickUntil(275, 2_100)
    expect(answers).toMatchObject([{ kind: 'given-up' }])
  })
})

// Each further incarnation put off the end of the former runs.
it('frees a task with the lease of its run, although its agent starts again and again without clearing', () => {
  const { dispatcher, view, start, agentsOfStarts } = sendJob()
  const confirmed = start.orders.map(({ task, run }) => ({ task, run }))
  dispatcher.watchAnswered(view, answerOf(103, { confirmed }), 5)
  for (let now = 10; now < 1_500; now += 10) {
    if (now % 500 === 0) {
      const incarnation = String(now)
      dispatcher.watchAnswered(view, answerOf(5, { incarnation, cleared: false }, { accepting: false }), now)
    }
    dispatcher.tick(now)
  }
  expect(agentsOfStarts()).toHaveLength(2)
})

it('releases what a start call reserved if a report comes before its answer', () => {
  const { dispatcher, view, start, tickUntil } = sendJob(1, 2)
  const task = start.orders[0]?.task ?? ''
  const report = { sequence: 1, task, run: 1, outcome: 'failed', reason: '', milliseconds: 2 }
  dispatcher.watchAnswered(view, answerOf(103, { reports: [report] }, { accepting: false }), 5)
  const { reports: _reports, profile: _profile, ...state } = answerOf(110)
  dispatcher.startAnswered(view, start, { ...state, verdicts: ['accepted', 'accepted'] }, 12)
  tickUntil(20, 60)
  expect(view.unconfirmedSize.processor).toBe(0)
})
