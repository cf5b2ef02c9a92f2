import { describe, expect, it } from 'vitest'
import { expectedWaitMilliseconds } from '@baobabpost/dispatching'
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
})
