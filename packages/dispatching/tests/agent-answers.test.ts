import { describe, expect, it } from 'vitest'
import { silentLogger } from '@baobabpost/common'
import { createDispatcher } from '@baobabpost/dispatching'
import type { Start, WatchAnswer } from '@baobabpost/fleet-calls'

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

describe('an answer of an agent that was started again', () => {
  it('does not end the runs of the next incarnation when it arrives late', () => {
    const starts: Start[] = []
    const dispatcher = createDispatcher({
      entry: 'entry-1',
      incarnation: '1',
      failureDomain: 'a',
      logger: silentLogger,
      sendStart: (_, start) => { starts.push(start) },
      sendStop: () => {}
    })
    const view = dispatcher.agentFound('agent-1', '10.1.0.1:7720')
    if (view === undefined) throw new Error('expected a view of the new agent')
    dispatcher.watchAnswered(view, answerOf('former', 50_000), 0)
    dispatcher.watchAnswered(view, answerOf('next', 100), 1)
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
      arrivedAt: 2,
      deadlineAt: 3_000
    }, () => {}, 2)
    expect(starts).toHaveLength(1)
    dispatcher.watchAnswered(view, answerOf('former', 50_100), 10)
    dispatcher.watchAnswered(view, answerOf('next', 120), 30)
    dispatcher.tick(40)
    expect(starts).toHaveLength(1)
  })
})
