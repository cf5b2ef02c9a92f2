import { describe, expect, it } from 'vitest'
import { silentLogger } from '@baobabpost/common'
import { createDispatcher, expectedWaitMilliseconds } from '@baobabpost/dispatching'
import { WAITING_LEVELS } from '@baobabpost/fleet-calls'
import type { AgentView } from '../src/agent-view.js'

/** Returns a view of an agent with waiting tasks, and how often an entry of its list was read. */
function viewOf (waiting: number[]): { view: AgentView, reads: () => number } {
  let reads = 0
  const counted = new Proxy(waiting, {
    get: (target, name, receiver) => {
      if (typeof name === 'string' && /^\d+$/.test(name)) reads += 1
      return Reflect.get(target, name, receiver) as unknown
    }
  })
  const load = { free: { processor: 100, memory: 0, accelerators: 0 }, waiting: counted, releaseRate: 2 }
  const view = { load, unconfirmedSize: { processor: 0, memory: 0, accelerators: 0 } } as unknown as AgentView
  return { view, reads: () => reads }
}

describe('the expected wait', () => {
  it('counts the tasks of the priority and of those before it', () => {
    const { view } = viewOf([60, 40, 1_000])
    expect(expectedWaitMilliseconds(view, 100, 1)).toBe(50)
  })

  // An entry stood still for each task of a queue with the priority 2,147,483,647.
  it('reads no more than the list has, however large the priority is', () => {
    const { view, reads } = viewOf([60, 40])
    expect(expectedWaitMilliseconds(view, 100, 1_000_000)).toBe(50)
    expect(reads()).toBeLessThanOrEqual(2)
  })

  // Agents of earlier builds tell an entry for each number up to the largest priority, and each plan read them all.
  it('keeps a bounded list of what an agent tells, with the same sum', () => {
    const dispatcher = createDispatcher({
      entry: 'entry-1', incarnation: '1', failureDomain: 'a', logger: silentLogger, sendStart: () => {}, sendStop: () => {}
    })
    const view = dispatcher.agentFound('agent-1', '10.1.0.1:7720')
    if (view === undefined) throw new Error('expected a view of the new agent')
    const free = { processor: 0, memory: 0, accelerators: 0 }
    dispatcher.watchAnswered(view, {
      incarnation: '1',
      clock: 1,
      cleared: true,
      reports: [],
      room: { free, waiting: Array.from({ length: 1_000_000 }, () => 1), releaseRate: 2, slowness: 1, failureShare: 0 }
    }, 0)
    expect(view.load.waiting).toHaveLength(WAITING_LEVELS)
    expect(expectedWaitMilliseconds(view, 0, 1_000_000)).toBe(500_000)
  })
})
