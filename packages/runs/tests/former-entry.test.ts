import { beforeEach, describe, expect, it } from 'vitest'
import type { CallingEntry, Start, StartAnswer, WatchAnswer } from '@baobabpost/fleet-calls'
import { createRegistryUnderTest, heartbeat, TASK, type RegistryUnderTest } from './registry-under-test.js'

const OTHER_TASK = '5c0e7a21d94b36f8.0.0.1'

let agent: RegistryUnderTest

/** Returns the caller fields of an incarnation of the entry that last heard from the agent at `heardAt`. */
function caller (incarnation: string, heardAt: number): CallingEntry {
  return { entry: 'entry-1', incarnation, heardAt, ...(heardAt === 0 ? {} : { heardFrom: 'agent-1' }) }
}

function watch (from: CallingEntry): WatchAnswer {
  const request = { caller: from, acknowledged: 0, profileVersion: 0, waitMilliseconds: 0 }
  const now = agent.advance(5)
  return agent.registry.answerWatch(agent.registry.beginWatch(request, now), request, now)
}

function order (from: CallingEntry, task: string): StartAnswer {
  const start: Start = {
    caller: from,
    specification: '{}',
    priority: 0,
    patienceMilliseconds: 50,
    orders: [{ task, run: 1, size: { processor: 1_000, memory: 64, accelerators: 0 }, estimateMilliseconds: 100 }]
  }
  return agent.registry.answerStart(start, agent.advance(5))
}

beforeEach(() => {
  agent = createRegistryUnderTest()
  agent.registry.handleHeartbeat(heartbeat(), agent.advance(1))
  agent.list()
})

describe('a late call of the former incarnation of an entry', () => {
  // The agent knows the former incarnation, or has heard of it only by calls that came late.
  it.each([
    ['that the agent knows', true, true],
    ['that never heard from the agent', false, false],
    ['that the agent does not know, with a newer entry that it knows by one call', false, true]
  ])('%s stops no run of the next incarnation, and starts none', (_, isKnown, hasHeard) => {
    const formerHeardAt = isKnown ? watch(caller('entry-1-1', agent.advance(0))).clock : agent.advance(0)
    const { clock } = watch(caller('entry-1-2', 0))
    expect(order(caller('entry-1-2', clock), TASK).verdicts).toEqual(['accepted'])
    agent.answerLastStart('taken')
    const late = caller('entry-1-1', hasHeard ? formerHeardAt : 0)
    watch(late)
    expect(order(late, TASK).verdicts).toEqual(['stale'])
    expect(order(late, OTHER_TASK).verdicts).toEqual(['stale'])
    expect(agent.stops).toEqual([])
    expect(agent.starts).toHaveLength(1)
  })
})

describe('the next incarnation of an entry', () => {
  it('stops the runs of the former one with its second call, and starts runs at once', () => {
    const former = watch(caller('entry-1-1', agent.advance(0)))
    order(caller('entry-1-1', former.clock), TASK)
    agent.answerLastStart('taken')
    const { clock } = watch(caller('entry-1-2', 0))
    expect(order(caller('entry-1-2', clock), OTHER_TASK).verdicts).toEqual(['accepted'])
    expect(agent.stops.map(({ order: { task } }) => task)).toEqual([TASK])
  })

  it('replaces a former one whose late call was the first that the agent got', () => {
    watch(caller('entry-1-0', 0))
    const { clock } = watch(caller('entry-1-2', 0))
    expect(order(caller('entry-1-2', clock), TASK).verdicts).toEqual(['accepted'])
  })
})
