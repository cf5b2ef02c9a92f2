import { beforeEach, describe, expect, it } from 'vitest'
import { silentLogger } from '@baobabpost/common'
import { createDispatcher, type AgentView, type Dispatcher } from '@baobabpost/dispatching'
import type { Start, StopAnswer } from '@baobabpost/fleet-calls'
import { createProcessPause } from '../src/process-pause.js'

const CAPACITY = { processor: 60_000, memory: 65_536, accelerators: 0 }
/** Room of an agent that accepts no work. */
const NO_CAPACITY = { processor: 0, memory: 0, accelerators: 0 }
const PAUSED_AT = 1_000
const RESUMED_AT = 2_900

let starts: Start[] = []
let dispatcher: Dispatcher
let view: AgentView

function stateOf (free: typeof CAPACITY, clock: number): StopAnswer {
  return {
    incarnation: '1',
    clock,
    cleared: true,
    room: { free, waiting: [], releaseRate: 0, slowness: 1, failureShare: 0 },
    profile: {
      version: 1, service: 'desk', failureDomain: 'a', capacity: CAPACITY, labels: [], accepting: free !== NO_CAPACITY
    }
  }
}

/** Applies an answer of the agent to a watch. */
function answerWatch (free: typeof CAPACITY, now: number): void {
  dispatcher.watchAnswered(view, { ...stateOf(free, now), reports: [] }, now)
}

/** Submits a job. Returns the function to call when its caller has left. */
function submit (now: number): (now: number) => void {
  return dispatcher.submit({
    id: '0123456789abcdef',
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
    maximumAttempts: 1,
    stretch: 1.6,
    targetLatencyMilliseconds: 20_000,
    arrivedAt: now,
    deadlineAt: 30_000
  }, () => {}, now)
}

function tickUntil (end: number): void {
  for (let now = 0; now <= end; now += 20) dispatcher.tick(now)
}

beforeEach(() => {
  starts = []
  dispatcher = createDispatcher({
    entry: 'entry-1',
    incarnation: '1',
    failureDomain: 'a',
    logger: silentLogger,
    sendStart: (_, start) => { starts.push(start) },
    sendStop: () => {}
  })
  view = dispatcher.agentFound('agent-1', '10.1.0.1:7720') as AgentView
})

describe('an entry that was paused', () => {
  // It ordered the tasks of jobs whose callers had left, and had sent them to another entry.
  it.each([['before', 0], ['after', 1]])('sends no task of a job that it reads %s its late tick and whose caller has left', (_name, ticks) => {
    answerWatch(CAPACITY, 0)
    tickUntil(PAUSED_AT)
    if (ticks > 0) dispatcher.tick(RESUMED_AT)
    const withdraw = submit(RESUMED_AT + 5)
    if (ticks === 0) dispatcher.tick(RESUMED_AT + 6)
    answerWatch(CAPACITY, RESUMED_AT + 7)
    dispatcher.refresh(RESUMED_AT + 7)
    withdraw(RESUMED_AT + 8)
    dispatcher.tick(RESUMED_AT + 26)
    expect(starts).toEqual([])
  })

  it.each([['watch', 0], ['start', 0], ['watch', 1], ['start', 1]])('sends no task of a waiting job on an answer to a %s that it reads first, after %i ticks', (call, ticks) => {
    answerWatch(NO_CAPACITY, 0)
    tickUntil(PAUSED_AT)
    const withdraw = submit(PAUSED_AT + 1)
    if (ticks > 0) dispatcher.tick(RESUMED_AT)
    if (call === 'watch') answerWatch(CAPACITY, RESUMED_AT + 5)
    else {
      const start: Start = {
        caller: dispatcher.nextWatch(view).caller, specification: '', priority: 0, patienceMilliseconds: 0, orders: []
      }
      dispatcher.startAnswered(view, start, { ...stateOf(CAPACITY, RESUMED_AT), verdicts: [] }, RESUMED_AT + 5)
    }
    withdraw(RESUMED_AT + 6)
    if (ticks === 0) dispatcher.tick(RESUMED_AT + 7)
    dispatcher.tick(RESUMED_AT + 27)
    expect(starts).toEqual([])
  })

  it('sends the tasks of a job whose caller stays at its second tick', () => {
    answerWatch(CAPACITY, 0)
    tickUntil(PAUSED_AT)
    dispatcher.tick(RESUMED_AT)
    submit(RESUMED_AT + 5)
    answerWatch(CAPACITY, RESUMED_AT + 10)
    expect(starts).toEqual([])
    dispatcher.tick(RESUMED_AT + 20)
    expect(starts.length).toBe(1)
  })
})

describe('the pause of a process', () => {
  it('ends with the tick after the late one, and begins anew with one that is late by a second', () => {
    const pause = createProcessPause()
    const gaps = [0, 100, 2_000, 2_020, 2_040, 4_000, 6_000, 6_020].map(pause.tick)
    expect(gaps).toEqual([0, 0, 1_900, 0, 0, 1_960, 2_000, 0])
  })

  it('lets a process with slow turns send tasks at every other tick', () => {
    const pause = createProcessPause()
    const maySend = [0, 400, 800, 1_200, 1_600].map(now => {
      pause.tick(now)
      return pause.maySend(now)
    })
    expect(maySend).toEqual([true, false, true, false, true])
  })
})
