import { describe, expect, it } from 'vitest'
import { silentLogger } from '@baobabpost/common'
import { createDispatcher, type AgentView, type Dispatcher } from '@baobabpost/dispatching'
import {
  KEPT_LEASES, RUN_LEASE_BOUND_MILLISECONDS, type LeaseLengths, type Start, type WatchAnswer
} from '@baobabpost/fleet-calls'

const SIZE = { processor: 60_000, memory: 65_536, accelerators: 0 }

function answerOf (clock: number, leases: LeaseLengths): WatchAnswer {
  return {
    incarnation: '1',
    clock,
    cleared: true,
    reports: [],
    room: { free: SIZE, waiting: [], releaseRate: 0, slowness: 1, failureShare: 0 },
    profile: { version: 1, service: 'desk', failureDomain: 'a', capacity: SIZE, labels: [], accepting: true, leases }
  }
}

/**
 * Returns when a task goes to another agent than the one that answered `busy`: at each order up to `busyUntil`, and
 * not at all after that.
 */
function movedAt (leases: LeaseLengths, busyUntil: number, end: number): number {
  const starts: Array<{ readonly view: AgentView, readonly start: Start }> = []
  const dispatcher: Dispatcher = createDispatcher({
    entry: 'entry-1',
    incarnation: '1',
    failureDomain: 'a',
    logger: silentLogger,
    sendStart: (view, start) => { starts.push({ view, start }) },
    sendStop: () => {}
  })
  const agents: AgentView[] = []
  for (const number of [1, 2]) {
    const view = dispatcher.agentFound(`agent-${number}`, `10.1.0.${number}:7720`)
    if (view !== undefined) agents.push(view)
  }
  for (const view of agents) dispatcher.watchAnswered(view, answerOf(100, leases), 0)
  dispatcher.submit({
    id: '0000000000000001',
    route: 'route',
    service: 'desk',
    priority: 0,
    specification: '{}',
    steps: [{
      taskCount: 1,
      size: { processor: 1_000, memory: 64, accelerators: 0 },
      estimateMilliseconds: 1_000,
      dependsOn: [],
      label: undefined,
      rack: undefined,
      maximumPerUpstream: undefined
    }],
    maximumAttempts: 2,
    stretch: 4,
    targetLatencyMilliseconds: 3_000,
    arrivedAt: 1,
    deadlineAt: 20_000
  }, () => {}, 1)
  let answered = 0
  for (let now = 10; now < end; now += 10) {
    for (const view of agents) dispatcher.watchAnswered(view, answerOf(100 + now, leases), now)
    dispatcher.tick(now)
    const last = starts[starts.length - 1]
    if (last === undefined || starts.length === answered) continue
    if (last.view.name !== starts[0]?.view.name) return now
    if (now > busyUntil) return Infinity
    answered = starts.length
    dispatcher.startAnswered(last.view, last.start, { ...answerOf(100 + now, leases), verdicts: ['busy'] }, now)
  }
  return Infinity
}

describe('a task at an agent that is busy with another run of it', () => {
  // The agent has not confirmed the end of that run, such as one whose order an upstream may still carry out.
  it('is not moved for as long as the agent answers so', () => {
    expect(movedAt(KEPT_LEASES, 3_000, 3_000)).toBe(Infinity)
  })

  it('is not moved before the run lease that the agent told has ended', () => {
    const leases = { entryMilliseconds: 900, runMilliseconds: 2 * RUN_LEASE_BOUND_MILLISECONDS }
    expect(movedAt(leases, 20, 2_000)).toBe(Infinity)
  })
})
