import { describe, expect, it } from 'vitest'
import { silentLogger } from '@baobabpost/common'
import {
  createDispatcher, Placement, type Dispatcher, type JobAnswer, type JobStep, type PlacementChoice,
  type PlacementRequest
} from '@baobabpost/dispatching'
import type { Start, UpstreamLoad } from '@baobabpost/fleet-calls'

const SIZE = { processor: 6_000, memory: 64, accelerators: 0 }
const STEP: JobStep = {
  taskCount: 2,
  size: SIZE,
  estimateMilliseconds: 100,
  dependsOn: [],
  label: undefined,
  rack: undefined,
  maximumPerUpstream: undefined
}
/** An upstream without free capacity that releases none. */
const FULL: UpstreamLoad = {
  free: { processor: 0, memory: 0, accelerators: 0 }, waiting: [], releaseRate: 0, slowness: 1, failureShare: 0
}
const EMPTY: UpstreamLoad = { ...FULL, free: { processor: 60_000, memory: 65_536, accelerators: 0 } }

/** Takes the first candidate, and counts for which tasks it was asked. */
class FirstPlacement extends Placement {
  readonly askedTasks: string[] = []

  override choose (request: PlacementRequest): PlacementChoice | undefined {
    this.askedTasks.push(request.task.name)
    const [agent] = request.candidates
    if (agent === undefined) return undefined
    const waitMilliseconds = agent.load.free.processor > 0 ? 0 : 10_000
    return { agent, waitMilliseconds, finishMilliseconds: waitMilliseconds + request.task.step.estimateMilliseconds }
  }
}

interface TestEntry {
  readonly dispatcher: Dispatcher
  readonly placement: FirstPlacement
  readonly starts: Array<{ readonly agent: string, readonly start: Start }>
}

function createEntry (agents: number, load: UpstreamLoad): TestEntry {
  const starts: TestEntry['starts'] = []
  const placement = new FirstPlacement()
  const dispatcher = createDispatcher({
    entry: 'entry-1',
    incarnation: '1',
    failureDomain: 'domain-1',
    placement,
    logger: silentLogger,
    sendStart: (view, start) => { starts.push({ agent: view.name, start }) },
    sendStop: () => {}
  })
  for (let index = 1; index <= agents; index += 1) {
    const view = dispatcher.agentFound(`agent-${index}`, `10.1.0.${index}:7720`)
    if (view === undefined) continue
    dispatcher.watchAnswered(view, {
      incarnation: '1',
      clock: 1,
      cleared: true,
      reports: [],
      room: load,
      profile: {
        version: 1,
        service: 'desk',
        failureDomain: 'domain-1',
        capacity: { processor: 64_000, memory: 65_536, accelerators: 0 },
        labels: [],
        accepting: true
      }
    }, 0)
  }
  return { dispatcher, placement, starts }
}

function submit (dispatcher: Dispatcher, number: number, step: JobStep, answers: JobAnswer[] = []): void {
  dispatcher.submit({
    id: number.toString(16).padStart(16, '0'),
    route: 'route',
    service: 'desk',
    priority: 0,
    specification: '{}',
    steps: [step],
    maximumAttempts: 1,
    stretch: 1.6,
    targetLatencyMilliseconds: 5_000,
    arrivedAt: 0,
    deadlineAt: 20_000
  }, answer => { answers.push(answer) }, 0)
}

describe('the waiting jobs of an entry', () => {
  // Every pass, one in 8 ms, planned every waiting job anew: a burst of hundreds left a small entry no time for the
  // answers of agents, and it stood still while upstreams were free.
  it('are tried in a bounded number in each pass, and all of them in turn', () => {
    const { dispatcher, placement } = createEntry(3, FULL)
    for (let number = 0; number < 300; number += 1) submit(dispatcher, number, STEP)
    placement.askedTasks.length = 0
    dispatcher.tick(20)
    expect(new Set(placement.askedTasks).size).toBeLessThanOrEqual(16)
    for (let pass = 2; pass < 60; pass += 1) dispatcher.tick(20 * pass)
    expect(new Set(placement.askedTasks.map(task => task.split('.')[0])).size).toBe(300)
  })

  it('are not planned further once one task can not end within the objective', () => {
    const { dispatcher, placement } = createEntry(3, FULL)
    submit(dispatcher, 1, { ...STEP, taskCount: 32 })
    expect(new Set(placement.askedTasks).size).toBe(1)
  })
})

describe('an entry that stops', () => {
  // An entry that was stopped as planned left jobs that waited for an upstream without an answer.
  it('answers all open jobs, and says of none that it has not run of which a task was sent', () => {
    const { dispatcher, starts } = createEntry(1, EMPTY)
    const answers: JobAnswer[] = []
    submit(dispatcher, 1, { ...STEP, taskCount: 1 }, answers)
    expect(starts).toHaveLength(1)
    submit(dispatcher, 2, { ...STEP, label: 'none' }, answers)
    submit(dispatcher, 1, { ...STEP, taskCount: 1 }, answers)
    answers.length = 0
    dispatcher.abandonAll('this entry stops', 10)
    expect(answers.map(({ kind }) => kind).sort()).toEqual(['given-up', 'refused'])
    expect(dispatcher.openJobCount()).toBe(0)
  })
})

describe('an ejected upstream', () => {
  // The agents were looked up once for a pass: every job of the pass sent its tasks to the ejected upstream as a probe.
  it('gets one task as a probe in a pass', () => {
    const { dispatcher, starts } = createEntry(6, FULL)
    for (let number = 0; number < 8; number += 1) submit(dispatcher, number, STEP)
    for (const view of dispatcher.agents()) {
      const isEjected = view.name === 'agent-1'
      view.load = { ...EMPTY, failureShare: isEjected ? 0.9 : 0 }
      view.lastSentAt = -1_000
    }
    dispatcher.tick(20)
    const probes = starts.filter(({ agent }) => agent === 'agent-1').map(({ start }) => start.orders.length)
    expect(probes).toEqual([1])
    expect(starts.reduce((total, { start }) => total + start.orders.length, 0)).toBe(16)
  })
})

describe('an upstream with a reduced share', () => {
  // A job was refused for lack of capacity while the only upstream with room was kept for a part of the work.
  it('gets a job at once that no other has room for', () => {
    const { dispatcher, starts } = createEntry(6, FULL)
    for (const view of dispatcher.agents()) {
      if (view.name === 'agent-1') view.load = { ...EMPTY, failureShare: 0.25 }
    }
    for (let number = 0; number < 3; number += 1) submit(dispatcher, number, STEP)
    expect(starts.map(({ agent }) => agent)).toEqual(['agent-1', 'agent-1', 'agent-1'])
  })
})

describe('a step with a maximum number of tasks on one upstream', () => {
  // Only tasks that had been sent were counted, so that one plan could put all of a step on one upstream.
  it('is spread within one plan', () => {
    const { dispatcher, starts } = createEntry(3, EMPTY)
    submit(dispatcher, 1, { ...STEP, taskCount: 3, maximumPerUpstream: 1 })
    expect(starts.map(({ agent, start }) => [agent, start.orders.length])).toEqual([
      ['agent-1', 1], ['agent-2', 1], ['agent-3', 1]
    ])
  })

  it('waits if there are too few upstreams', () => {
    const { dispatcher, starts } = createEntry(2, EMPTY)
    submit(dispatcher, 1, { ...STEP, taskCount: 3, maximumPerUpstream: 1 })
    expect(starts).toEqual([])
  })
})
