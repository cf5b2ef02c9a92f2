import { describe, expect, it } from 'vitest'
import { silentLogger } from '@baobabpost/common'
import {
  createAgentView, createJob, createRecentValues, EarliestFinishPlacement, LearnedRunTimes,
  type AgentView, type JobRequest, type JobStep
} from '@baobabpost/dispatching'
import type { RunTimes } from '@baobabpost/fleet-calls'

const SIZE = { processor: 5_000, memory: 64, accelerators: 0 }
const FIXED_MILLISECONDS = 12
const CAPACITY = { processor: 40_000, memory: 65_536, accelerators: 0 }

function stepOf (estimateMilliseconds: number, rack?: string): JobStep {
  return {
    taskCount: 2, size: SIZE, estimateMilliseconds, dependsOn: [], label: undefined, rack, maximumPerUpstream: undefined
  }
}

function requestOf (route: string, step: JobStep): JobRequest {
  return {
    id: '5c0e7a21d94b36f8',
    route,
    service: 'desk',
    priority: 0,
    specification: '{}',
    steps: [step],
    maximumAttempts: 2,
    stretch: 1.6,
    targetLatencyMilliseconds: 60,
    arrivedAt: 0,
    deadlineAt: 3_000
  }
}

/** Gives a view what an agent answers; without run times for an agent of an earlier version. */
function answer (
  model: LearnedRunTimes, view: AgentView, runTimes: RunTimes | undefined, instance: number | 'unknown' = 1_000,
  routeFactors?: Record<string, number>
): void {
  view.load = {
    free: CAPACITY,
    waiting: [],
    releaseRate: 0,
    slowness: 2,
    failureShare: 0,
    ...(runTimes === undefined ? {} : { runTimes })
  }
  view.profile = {
    version: 1,
    service: 'desk',
    failureDomain: 'domain-1',
    capacity: CAPACITY,
    labels: ['rack-a'],
    accepting: true,
    ...(instance === 'unknown' ? {} : { instance }),
    ...(routeFactors === undefined ? {} : { routeFactors })
  }
  model.applyAnswer(view)
}

function createModel (farMultiplier?: number): { readonly model: LearnedRunTimes, readonly view: AgentView } {
  return { model: new LearnedRunTimes(silentLogger, farMultiplier), view: createAgentView('entry-1', 'agent-1', '10.1.0.1:7720') }
}

describe('the factor of a route', () => {
  it.each([0.6, 1, 1.4])('is learned over upstreams of uneven speed within some tens of runs, at %s', factor => {
    const { model } = createModel()
    const views = [1 / 0.6, 1, 1 / 1.6].map((upstreamFactor, index) => {
      const view = createAgentView('entry-1', `agent-${index}`, '10.1.0.1:7720')
      answer(model, view, [FIXED_MILLISECONDS, upstreamFactor, 0.05, 0.1, 96])
      return { view, upstreamFactor }
    })
    for (let index = 0; index < 30; index += 1) {
      const { view, upstreamFactor } = views[index % 3] ?? { view: createAgentView('', '', ''), upstreamFactor: 1 }
      const isLong = index % 15 === 14
      const milliseconds = (FIXED_MILLISECONDS + 86 * upstreamFactor) * (isLong ? 7 : 1)
      const step = stepOf(86 / factor)
      model.recordDone({ view, request: requestOf('urgent', step), step, milliseconds })
    }
    expect(Math.abs(model.factorOf('urgent') / factor - 1)).toBeLessThan(0.05)
    expect(model.factorOf('other')).toBe(1)
  })

  it('lengthens or shortens objectives by no more than estimates are off', () => {
    const { model, view } = createModel()
    answer(model, view, [FIXED_MILLISECONDS, 1, 0.05, 0.1, 96])
    const step = stepOf(100)
    const request = requestOf('urgent', step)
    expect(model.objectiveFactor(request)).toBe(1)
    for (let index = 0; index < 48; index += 1) model.recordDone({ view, request, step, milliseconds: 900 })
    expect(model.objectiveFactor(request)).toBeLessThanOrEqual(1.67)
  })

  // A restarted entry planned with the callers' estimates until it had seen runs of its own.
  it('is taken from an agent by an entry that has just started', () => {
    const { model, view } = createModel()
    answer(model, view, [FIXED_MILLISECONDS, 1, 0.05, 0.1, 96], 1_000, { urgent: 1.4 })
    expect(model.factorOf('urgent')).toBe(1.4)
  })
})

describe('the run times of an upstream at an entry', () => {
  const step = stepOf(100)

  it('are kept while a restarted agent knows less, and handed back to it', () => {
    const { model, view } = createModel()
    const learned: RunTimes = [FIXED_MILLISECONDS, 1.5, 0.05, 0.1, 96]
    answer(model, view, learned)
    const before = model.expect(view, step, 'urgent')
    expect(model.describeStart(view, requestOf('urgent', step)).remembered).toBeUndefined()
    answer(model, view, [FIXED_MILLISECONDS, 1, 0.15, 0.3, 0])
    expect(model.expect(view, step, 'urgent')).toEqual(before)
    expect(model.describeStart(view, requestOf('urgent', step)).remembered).toEqual({ instance: 1_000, runTimes: learned })
  })

  it.each([2_000, 'unknown'] as const)('are forgotten when the agent tells of another instance, %s', instance => {
    const { model, view } = createModel()
    const other = createAgentView('entry-1', 'agent-2', '10.1.0.2:7720')
    answer(model, other, [FIXED_MILLISECONDS, 1, 0.05, 0.1, 96])
    answer(model, view, [FIXED_MILLISECONDS, 4, 0.05, 0.1, 96])
    const slow = model.expect(view, step, 'urgent')
    answer(model, view, [FIXED_MILLISECONDS, 1, 0.15, 0.3, 0], instance)
    expect(model.expect(view, step, 'urgent')).toBeLessThan(0.7 * slow)
    expect(model.describeStart(view, requestOf('urgent', step)).remembered).toBeUndefined()
  })

  it('are the average of run time over estimate where the agent tells nothing else', () => {
    const { model, view } = createModel()
    answer(model, view, undefined)
    expect(model.expect(view, step, 'urgent')).toBe(200)
  })

  it('are bounded when an agent tells values that no upstream can have', () => {
    const { model, view } = createModel()
    answer(model, view, [1e9, -3, 1e9, -1, 96])
    const milliseconds = model.expect(view, step, 'urgent')
    expect(milliseconds).toBeGreaterThan(0)
    expect(milliseconds).toBeLessThan(5_000)
  })
})

describe('a task with a rack', () => {
  const away = stepOf(100, 'rack-b')
  const near = stepOf(100, 'rack-a')

  it('is expected to take as many times as long away from it, and its order says so', () => {
    const { model, view } = createModel(2.5)
    answer(model, view, [FIXED_MILLISECONDS, 1, 0.05, 0.1, 96])
    expect(model.expect(view, near, 'urgent')).toBeCloseTo(FIXED_MILLISECONDS + 100)
    expect(model.expect(view, away, 'urgent')).toBeCloseTo(FIXED_MILLISECONDS + 250)
    expect(model.describeOrder(view, away)).toEqual({ awayFactor: 2.5 })
    expect(model.describeOrder(view, near)).toEqual({})
  })

  it('does not change the factor of its route by running away from its data', () => {
    const { model, view } = createModel(2.5)
    answer(model, view, [FIXED_MILLISECONDS, 1, 0.05, 0.1, 96])
    const request = requestOf('urgent', away)
    for (let index = 0; index < 48; index += 1) {
      model.recordDone({ view, request, step: away, milliseconds: FIXED_MILLISECONDS + 250 })
    }
    expect(model.factorOf('urgent')).toBeCloseTo(1)
  })

  // Where the settings give no factor, a deployment is served as before.
  it('has no time away where no factor is known', () => {
    const { model, view } = createModel()
    answer(model, view, [FIXED_MILLISECONDS, 1, 0.05, 0.1, 96])
    expect(model.expect(view, away, 'urgent')).toEqual(model.expect(view, near, 'urgent'))
    expect(model.describeOrder(view, away)).toEqual({})
    expect(model.knowsAwayTime()).toBe(false)
  })

  it('goes to its rack while that is the earlier finish, and elsewhere when it is not', () => {
    const { model, view } = createModel(2)
    const distant = createAgentView('entry-1', 'agent-2', '10.1.0.2:7720')
    answer(model, view, [FIXED_MILLISECONDS, 1, 0.05, 0.1, 96])
    answer(model, distant, [FIXED_MILLISECONDS, 1, 0.05, 0.1, 96])
    const rackStep = stepOf(1_000, 'rack-a')
    distant.profile = { ...(distant.profile ?? expect.fail('no profile')), labels: ['rack-b'] }
    const job = createJob(requestOf('urgent', rackStep), () => {})
    const choose = (): string | undefined => new EarliestFinishPlacement().choose({
      task: job.tasks[0] ?? expect.fail('no task'),
      priority: 0,
      route: 'urgent',
      runTimes: model,
      candidates: [distant, view],
      usedAgents: new Set(),
      failureDomain: 'domain-1',
      remainingMilliseconds: 10_000,
      now: 0
    })?.agent.name
    expect(choose()).toBe('agent-1')
    view.load = { ...view.load, free: { ...CAPACITY, processor: 0 }, releaseRate: 1 }
    expect(choose()).toBe('agent-2')
  })
})

describe('recent values', () => {
  it('forget the oldest, and count assumed ones beside them', () => {
    const values = createRecentValues(3, [10])
    for (const value of [100, 1, 2, 3]) values.add(value)
    expect(values.count()).toBe(3)
    expect(values.quantile(0)).toBe(1)
    expect(values.quantile(0.99)).toBe(10)
  })
})
