import { beforeEach, describe, expect, it } from 'vitest'
import { createRegistryUnderTest, heartbeat, TASK, type RegistryUnderTest } from './registry-under-test.js'

const OTHER_TASK = '5c0e7a21d94b36f8.0.0.1'

let agent: RegistryUnderTest

beforeEach(() => {
  agent = createRegistryUnderTest()
  agent.registry.handleHeartbeat(heartbeat(), agent.advance(1))
  agent.list()
  agent.order(1)
  agent.answerLastStart('taken')
})

describe('a completion with an odd number', () => {
  // The true completions after it were skipped, and runs that had ended were reported lost and started again.
  it.each([1e300, 9e15, Number.MAX_SAFE_INTEGER, Infinity, NaN, 1.5, 0, -1])('%d does not hide the true ones', number => {
    agent.list({ ended: [{ number, task: OTHER_TASK, run: 1, kind: 'done' }], running: [{ task: TASK, run: 1, percent: 5 }] })
    expect(agent.registry.nextListOrder(0, agent.advance(1)).acknowledgedCompletion).toBe(0)
    agent.list({
      ended: [
        { number, task: OTHER_TASK, run: 1, kind: 'done' },
        { number: 1, task: TASK, run: 1, kind: 'done' }
      ]
    })
    expect(agent.watch().reports).toMatchObject([{ task: TASK, outcome: 'done' }])
    expect(agent.registry.nextListOrder(0, agent.advance(1)).acknowledgedCompletion).toBe(1)
  })

  it('does not keep a run that it names from ending', () => {
    agent.list({ ended: [{ number: 9e15, task: TASK, run: 1, kind: 'done' }] })
    expect(agent.watch().reports).toMatchObject([{ task: TASK, outcome: 'done' }])
  })
})

describe('completions that are listed in another order than they are numbered', () => {
  it('all count', () => {
    agent.order(1, OTHER_TASK)
    agent.answerLastStart('taken')
    agent.list({
      ended: [
        { number: 2, task: OTHER_TASK, run: 1, kind: 'done' },
        { number: 1, task: TASK, run: 1, kind: 'done' }
      ]
    })
    expect(agent.watch().reports).toMatchObject([{ outcome: 'done' }, { outcome: 'done' }])
  })
})
