import fc from 'fast-check'
import { describe, expect, test } from 'vitest'
import { shareWindows, WINDOW_FLOOR_TASKS } from '@baobabpost/execution'
import { createAgentUnderTest, createGroup, FIRST_ENTRY, SECOND_ENTRY } from './agent-under-test.js'

const capacity = fc.integer({ min: 1, max: 100 })
const demands = fc.array(fc.double({ min: 0, max: 1_000, noNaN: true }), { minLength: 1, maxLength: 30 })

describe('windows', () => {
  test('their sum is the capacity, or exceeds it by at most one floor for each entry', () => {
    fc.assert(fc.property(capacity, demands, (tasks, wanted) => {
      const windows = shareWindows(tasks, wanted)
      const sum = windows.reduce((left, right) => left + right, 0)
      expect(sum).toBeGreaterThanOrEqual(tasks)
      expect(sum).toBeLessThanOrEqual(tasks + WINDOW_FLOOR_TASKS * wanted.length)
      expect(Math.min(...windows)).toBeGreaterThanOrEqual(WINDOW_FLOOR_TASKS)
    }))
  })

  test('a higher demand gets no smaller window, and an entry below its demand is at most one task behind any other', () => {
    fc.assert(fc.property(capacity, demands, (tasks, wanted) => {
      const windows = shareWindows(tasks, wanted)
      for (const [index, window] of windows.entries()) {
        for (const [otherIndex, otherWindow] of windows.entries()) {
          if (wanted[index]! > wanted[otherIndex]!) expect(window).toBeGreaterThanOrEqual(otherWindow)
          const isBelowDemand = window < Math.floor(wanted[index]!)
          if (isBelowDemand) expect(otherWindow).toBeLessThanOrEqual(window + 1)
        }
      }
    }))
  })

  test('an entry with a backlog gets all slots and the prefetch immediately, and two such entries share them', () => {
    const agent = createAgentUnderTest({ slots: 8, prefetchTasks: 4 })
    agent.grantLease()
    agent.grantLease(SECOND_ENTRY)
    agent.flush()
    const dispatch = (from: typeof FIRST_ENTRY, submission: string): void => {
      const groups = [createGroup(submission, [0], { startBefore: agent.now() + 2_000 })]
      agent.receive(from, { method: 'dispatch', parameters: { groups, backlog: 500 } })
      agent.advance(20)
      agent.flush()
    }
    dispatch(FIRST_ENTRY, 'one')
    expect(agent.execution.snapshot().windows).toEqual(new Map([[FIRST_ENTRY, 12], [SECOND_ENTRY, 6]]))
    dispatch(SECOND_ENTRY, 'two')
    agent.advance(500)
    agent.tick()
    expect(agent.execution.snapshot().windows).toEqual(new Map([[FIRST_ENTRY, 6], [SECOND_ENTRY, 6]]))
  })

  test('a backlog that is not reported again decays, and all entries get equal windows again', () => {
    const agent = createAgentUnderTest({ slots: 8, prefetchTasks: 4 })
    agent.grantLease()
    agent.grantLease(SECOND_ENTRY)
    agent.receive(FIRST_ENTRY, { method: 'dispatch', parameters: { groups: [], backlog: 500 } })
    for (let round = 0; round < 20; round += 1) {
      agent.advance(500)
      agent.tick()
    }
    expect(agent.execution.snapshot().windows).toEqual(new Map([[FIRST_ENTRY, 6], [SECOND_ENTRY, 6]]))
  })

  test('a larger window is not sent between heartbeats to an entry that has no use for it', () => {
    const agent = createAgentUnderTest({ slots: 8, prefetchTasks: 4 })
    agent.grantLease()
    agent.grantLease(SECOND_ENTRY)
    agent.flush()
    agent.sent.splice(0)
    const group = createGroup('job', [0, 1], { startBefore: agent.now() + 2_000 })
    agent.receive(FIRST_ENTRY, { method: 'dispatch', parameters: { groups: [group], backlog: 3 } })
    for (let turn = 0; turn < 10; turn += 1) {
      agent.advance(20)
      agent.flush()
    }
    expect(agent.sent).toEqual([])
  })
})
