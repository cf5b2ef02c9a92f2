import { describe, expect, it } from 'vitest'
import { silentLogger } from '@baobabpost/common'
import { createDispatcher, type AgentView, type Dispatcher } from '@baobabpost/dispatching'
import { KEPT_LEASES, type RunReport, type Start, type StopAnswer } from '@baobabpost/fleet-calls'

const SIZE = { processor: 60_000, memory: 65_536, accelerators: 0 }

function stateOf (clock: number): StopAnswer {
  return {
    incarnation: 'agent',
    clock,
    cleared: true,
    room: { free: SIZE, waiting: [], releaseRate: 0, slowness: 1, failureShare: 0 },
    profile: {
      version: 1,
      service: 'desk',
      failureDomain: 'a',
      capacity: SIZE,
      labels: [],
      accepting: true,
      leases: KEPT_LEASES
    }
  }
}

function reportOf (task: string, outcome: string): RunReport {
  return { sequence: 1, task, run: 1, outcome, reason: '', milliseconds: 0 }
}

interface SentTask {
  readonly dispatcher: Dispatcher
  readonly view: AgentView
  readonly starts: readonly Start[]
  /** Number of stopped runs. */
  readonly stopped: readonly number[]
  readonly task: string
}

/** Returns an entry that has sent its only task to an agent. */
function sendTask (): SentTask {
  const starts: Start[] = []
  const stopped: number[] = []
  const dispatcher = createDispatcher({
    entry: 'entry-1',
    incarnation: '1',
    failureDomain: 'a',
    logger: silentLogger,
    sendStart: (_, start) => { starts.push(start) },
    sendStop: (_, { runs }) => { stopped.push(...runs.map(({ run }) => run)) }
  })
  const view = dispatcher.agentFound('agent-1', '10.1.0.1:7720')
  if (view === undefined) throw new Error('expected a view of the new agent')
  dispatcher.watchAnswered(view, { ...stateOf(100), reports: [] }, 0)
  dispatcher.submit({
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
    stretch: 1.6,
    targetLatencyMilliseconds: 60,
    arrivedAt: 0,
    deadlineAt: 3_000
  }, () => {}, 0)
  return { dispatcher, view, starts, stopped, task: starts[0]?.orders[0]?.task ?? '' }
}

describe('an answer of an agent of a later build', () => {
  it('with an unknown verdict does not start the task elsewhere before the agent has reported its stop', () => {
    const { dispatcher, view, starts, stopped, task } = sendTask()
    const [start] = starts
    if (start === undefined) throw new Error('expected a start')
    dispatcher.startAnswered(view, start, { ...stateOf(110), verdicts: ['of-later-build'] }, 10)
    dispatcher.tick(100)
    expect(starts).toHaveLength(1)
    expect(stopped).toEqual([1])
    dispatcher.watchAnswered(view, { ...stateOf(210), reports: [reportOf(task, 'stopped')] }, 110)
    dispatcher.tick(200)
    expect(starts).toHaveLength(2)
  })

  it('with an unknown outcome ends the run, and the task starts again', () => {
    const { dispatcher, view, starts, task } = sendTask()
    dispatcher.watchAnswered(view, { ...stateOf(110), reports: [reportOf(task, 'of-later-build')] }, 10)
    dispatcher.tick(100)
    expect(starts).toHaveLength(2)
  })
})
