import { expect, it } from 'vitest'
import { silentLogger } from '@baobabpost/common'
import { createDispatcher, type AgentView } from '@baobabpost/dispatching'
import type { CallingEntry, WatchAnswer } from '@baobabpost/fleet-calls'

const SIZE = { processor: 60_000, memory: 65_536, accelerators: 0 }

function answerOf (incarnation: string, clock: number, fence: number): WatchAnswer {
  return {
    incarnation,
    clock,
    cleared: true,
    reports: [],
    room: { free: SIZE, waiting: [], releaseRate: 0, slowness: 1, failureShare: 0 },
    profile: { version: 1, service: 'desk', failureDomain: 'a', capacity: SIZE, labels: [], accepting: true, fence }
  }
}

it('tells an agent that was started again the highest fencing token of its earlier incarnations', () => {
  const dispatcher = createDispatcher({
    entry: 'entry-1', incarnation: '1', failureDomain: 'a', logger: silentLogger, sendStart: () => {}, sendStop: () => {}
  })
  const view = dispatcher.agentFound('agent-1', '10.1.0.1:7720')
  if (view === undefined) throw new Error('expected a view of the new agent')
  const caller = (agent: AgentView): CallingEntry => dispatcher.nextWatch(agent).caller
  dispatcher.watchAnswered(view, answerOf('one', 50_000, 9_000), 0)
  expect(caller(view)).not.toHaveProperty('formerFence')
  dispatcher.watchFailed(view, false, 20)
  expect(caller(view)).toMatchObject({ heardFrom: 'one', formerFence: 9_000 })
  dispatcher.watchAnswered(view, answerOf('two', 100, 4_000), 40)
  dispatcher.watchAnswered(view, answerOf('two', 200, 10_000), 50)
  expect(caller(view)).toMatchObject({ heardFrom: 'two', formerFence: 9_000 })
})
