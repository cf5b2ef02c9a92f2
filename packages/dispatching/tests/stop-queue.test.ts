import { describe, expect, it } from 'vitest'
import { createAgentView, createRetryBudget, createStopQueue } from '@baobabpost/dispatching'

const VIEW = createAgentView('entry-1', 'agent-1', '10.1.0.1:7720')
const STEP_MILLISECONDS = 20

/** Adds 100 runs at an agent, flushes every 20 ms, and returns when calls were made and with how many runs. */
function play (milliseconds: number, answers: 'all' | 'none', endsAt = Infinity): Array<{ at: number, runs: number }> {
  const calls: Array<{ at: number, runs: number }> = []
  let time = 0
  let isPending = false
  const stops = createStopQueue({
    send: (_view, runs) => {
      calls.push({ at: time, runs: runs.length })
      isPending = true
    },
    isWanted: () => time < endsAt
  })
  for (let index = 0; index < 100; index += 1) stops.add(VIEW, `task-${index}`, 1)
  for (; time <= milliseconds; time += STEP_MILLISECONDS) {
    if (isPending && answers === 'all') stops.answered(VIEW.name)
    else if (isPending) stops.failed(VIEW.name, time)
    isPending = false
    stops.flush(time)
  }
  return calls
}

describe('the stops of an entry', () => {
  // Each run was stopped by a call of its own, and again every 250 ms: a hundred runs at an agent behind a full link
  // made 400 calls a second, which kept the link full.
  it('travel together to one agent', () => {
    expect(play(200, 'all')).toEqual([{ at: 0, runs: 100 }])
  })

  it('are repeated while the end of a run is not reported', () => {
    expect(play(700, 'all').map(({ at }) => at)).toEqual([0, 260, 520])
  })

  it('are repeated less and less often to an agent that does not answer', () => {
    const times = play(10_000, 'none').map(({ at }) => at)
    const gaps = times.slice(1).map((at, index) => at - (times[index] ?? 0))
    expect(gaps.slice(0, 4)).toEqual([280, 520, 1_020, 2_020])
    expect(times.length).toBeLessThan(9)
  })

  it('end with the runs', () => {
    expect(play(2_000, 'all', 300).length).toBe(2)
  })

  it('wait for the answer to the call before', () => {
    const calls: number[] = []
    const stops = createStopQueue({ send: (_view, runs) => { calls.push(runs.length) }, isWanted: () => true })
    stops.add(VIEW, 'task-1', 1)
    stops.flush(0)
    stops.add(VIEW, 'task-2', 1)
    stops.flush(100)
    expect(calls).toEqual([1])
    stops.answered(VIEW.name)
    stops.flush(101)
    expect(calls).toEqual([1, 1])
  })
})

describe('the budget of repeated calls', () => {
  it('allows a tenth of the first calls once what was saved is spent', () => {
    const budget = createRetryBudget()
    let repeats = 0
    for (let call = 0; call < 1_000; call += 1) {
      budget.record()
      if (budget.take()) repeats += 1
    }
    expect(repeats).toBeGreaterThanOrEqual(100)
    expect(repeats).toBeLessThanOrEqual(111)
  })
})
