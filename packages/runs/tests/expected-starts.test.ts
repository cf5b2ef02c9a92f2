import { describe, expect, it } from 'vitest'
import { expectedStarts } from '@baobabpost/runs'
import { createRegistryUnderTest, heartbeat, TASK, type RegistryUnderTest } from './registry-under-test.js'

const SIZE = { processor: 10, memory: 1, accelerators: 0 }
const NOTHING = { processor: 0, memory: 0, accelerators: 0 }

describe('the expected starts of queued runs', () => {
  it('follow the expected ends of the runs at the upstream, and of the runs before them', () => {
    const ends = [{ at: 130, size: SIZE }, { at: 110, size: SIZE }]
    const queue = Array.from({ length: 4 }, () => ({ size: SIZE, runMilliseconds: 50 }))
    expect(expectedStarts(NOTHING, ends, queue, 100)).toEqual([110, 130, 160, 180])
  })

  it('are now while capacity is free, and unknown for a run that never fits', () => {
    const queue = [{ size: SIZE, runMilliseconds: 50 }, { size: { ...SIZE, memory: 9 }, runMilliseconds: 50 }]
    expect(expectedStarts(SIZE, [], queue, 100)).toEqual([100, Infinity])
  })
})

/** A registry whose upstream runs 32 tasks of 100 ms and has no free capacity. */
function full (): RegistryUnderTest {
  const underTest = createRegistryUnderTest()
  underTest.registry.handleHeartbeat(heartbeat(), underTest.advance(1))
  underTest.list()
  for (let count = 1; count <= 32; count += 1) {
    underTest.order(1, `${TASK}${count}`)
    underTest.answerLastStart('taken')
  }
  return underTest
}

describe('orders of a job that are accepted together or not at all', () => {
  function start (underTest: RegistryUnderTest, tasks: number, patienceMilliseconds: number): readonly string[] {
    const now = underTest.advance(1)
    return underTest.registry.answerStart({
      caller: { entry: 'entry-1', incarnation: 'entry-1-1', heardAt: now, heardFrom: 'agent-1' },
      specification: '{}',
      priority: 0,
      patienceMilliseconds,
      isWhole: true,
      orders: Array.from({ length: tasks }, (_, index) => ({
        task: `whole.${index}`, run: 1, size: { processor: 1_000, memory: 64, accelerators: 0 }, estimateMilliseconds: 100
      }))
    }, now).verdicts
  }

  // Orders that could not start in time waited until then, and their entry tried no other agent meanwhile.
  it('are refused at once if one of them is not expected to start in time', () => {
    const underTest = full()
    expect(start(underTest, 3, 20)).toEqual(['no-room', 'no-room', 'no-room'])
    expect(underTest.registry.runCount()).toBe(32)
  })

  it('take no capacity when only some of them could start', () => {
    const underTest = full()
    const running = Array.from({ length: 31 }, (_, index) => ({ task: `${TASK}${index + 2}`, run: 1, percent: 1 }))
    underTest.list({ running, ended: [{ number: 1, task: `${TASK}1`, run: 1, kind: 'done' }] })
    expect(start(underTest, 3, 1)).toEqual(['no-room', 'no-room', 'no-room'])
    expect(underTest.starts.length).toBe(32)
  })

  it('are accepted and wait if all of them are expected to start in time', () => {
    expect(start(full(), 3, 120)).toEqual(['accepted', 'accepted', 'accepted'])
  })
})

describe('a stop that is meant for waiting runs only', () => {
  it('ends the waiting runs and leaves the others', () => {
    const underTest = full()
    underTest.order(1, `${TASK}33`)
    const runs = [{ task: `${TASK}32`, run: 1 }, { task: `${TASK}33`, run: 1 }]
    const now = underTest.advance(1)
    const caller = { entry: 'entry-1', incarnation: 'entry-1-1', heardAt: now, heardFrom: 'agent-1' }
    underTest.registry.answerStop({ caller, runs, isOnlyWaiting: true }, now)
    expect(underTest.stops).toEqual([])
    expect(underTest.watch().reports.map(({ task, outcome }) => ({ task, outcome })))
      .toEqual([{ task: `${TASK}33`, outcome: 'not-started' }])
  })
})
