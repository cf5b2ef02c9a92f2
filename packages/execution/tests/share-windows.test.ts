import fc from 'fast-check'
import { describe, expect, test } from 'vitest'
import { shareWindows, WINDOW_FLOOR_TASKS } from '@baobabpost/execution'
import { createAgentUnderTest, createGroup, FIRST_ENTRY, SECOND_ENTRY } from './agent-under-test.js'

const capacity = fc.integer({ min: 1, max: 100 })
const demands = fc.array(fc.double({ min: 0, max: 1_000, noNaN: true }), { minLength: 1, maxLength: 30 })

describe('shared windows', () => {
  test('the sum is the capacity, or exceeds it by the floors at most', () => {
    fc.assert(fc.property(capacity, demands, (tasks, wanted) => {
      const windows = shareWindows(tasks, wanted)
      const sum = windows.reduce((left, right) => left + right, 0)
      expect(sum).toBeGreaterThanOrEqual(tasks)
      expect(sum).toBeLessThanOrEqual(tasks + WINDOW_FLOOR_TASKS * wanted.length)
      expect(Math.min(...windows)).toBeGreaterThanOrEqual(WINDOW_FLOOR_TASKS)
    }))
  })

  test('who wants more gets no less, and nobody goes short while another has two more than it', () => {
    fc.assert(fc.property(capacity, demands, (tasks, wanted) => {
      const windows = shareWindows(tasks, wanted)
      for (const [one, window] of windows.entries()) {
        for (const [other, otherWindow] of windows.entries()) {
          if (wanted[one]! > wanted[other]!) expect(window).toBeGreaterThanOrEqual(otherWindow)
          const goesShort = window < Math.floor(wanted[one]!)
          if (goesShort) expect(otherWindow).toBeLessThanOrEqual(window + 1)
        }
      }
    }))
  })

  test('an entry with a backlog gets the slots and the prefetch at once; two of them share', () => {
    const agent = createAgentUnderTest({ slots: 8, prefetchTasks: 4 })
    agent.grantLease()
    agent.grantLease(SECOND_ENTRY)
    agent.flush()
    const dispatch = (from: typeof FIRST_ENTRY, submission: string): void => {
      const groups = [createGroup(submission, [0], { startBefore: agent.now() + 2_000 })]
      agent.receive(from, { method: 'dispatch', parameters: { groups, backlog: 500 } })
      agent.pass(20)
      agent.flush()
    }
    dispatch(FIRST_ENTRY, 'one')
    expect(agent.execution.snapshot().windows).toEqual(new Map([[FIRST_ENTRY, 12], [SECOND_ENTRY, 6]]))
    dispatch(SECOND_ENTRY, 'two')
    agent.pass(500)
    agent.tick()
    expect(agent.execution.snapshot().windows).toEqual(new Map([[FIRST_ENTRY, 6], [SECOND_ENTRY, 6]]))
  })

  test('a backlog that was not told again is forgotten, and every entry may use a share again', () => {
    const agent = createAgentUnderTest({ slots: 8, prefetchTasks: 4 })
    agent.grantLease()
    agent.grantLease(SECOND_ENTRY)
    agent.receive(FIRST_ENTRY, { method: 'dispatch', parameters: { groups: [], backlog: 500 } })
    for (let round = 0; round < 20; round += 1) {
      agent.pass(500)
      agent.tick()
    }
    expect(agent.execution.snapshot().windows).toEqual(new Map([[FIRST_ENTRY, 6], [SECOND_ENTRY, 6]]))
  })

  test('an entry without use for a wider window is not sent one beside the heartbeats', () => {
    const agent = createAgentUnderTest({ slots: 8, prefetchTasks: 4 })
    agent.grantLease()
    agent.grantLease(SECOND_ENTRY)
    agent.flush()
    agent.sent.splice(0)
    const group = createGroup('job', [0, 1], { startBefore: agent.now() + 2_000 })
    agent.receive(FIRST_ENTRY, { method: 'dispatch', parameters: { groups: [group], backlog: 3 } })
    for (let turn = 0; turn < 10; turn += 1) {
      agent.pass(20)
      agent.flush()
    }
    expect(agent.sent).toEqual([])
  })
})
