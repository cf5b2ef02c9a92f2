import { beforeEach, describe, expect, it } from 'vitest'
import { createRegistryUnderTest, heartbeat, TASK, type RegistryUnderTest } from './registry-under-test.js'

let agent: RegistryUnderTest

beforeEach(() => {
  agent = createRegistryUnderTest()
  agent.registry.handleHeartbeat(heartbeat(), agent.advance(1))
  agent.list()
})

/** Lets the last start order get no answer, until a listing shows that its run has not started. */
function loseLastStart (): void {
  agent.answerLastStart('unanswered')
  agent.list()
}

/** Lets all start orders of a run get no answer, until a stop and a listing show that it can't start any more. */
function loseAllStarts (): void {
  for (let lost = 0; lost < 3; lost += 1) loseLastStart()
  agent.answerLastStop('taken')
  agent.list()
}

describe('a run at an upstream that loses most orders', () => {
  // Six repetitions took longer than the deadlines of short jobs, while other upstreams had free capacity.
  it('goes back to its entry after two repetitions', () => {
    agent.order(1)
    loseAllStarts()
    expect(agent.starts).toHaveLength(3)
    expect(agent.watch().reports).toMatchObject([{ task: TASK, outcome: 'not-started', reason: 'order unanswered' }])
    expect(agent.watch().room.failureShare).toBeGreaterThan(0)
  })

  it('is not given back while its last order may still be carried out', () => {
    agent.order(1)
    for (let lost = 0; lost < 3; lost += 1) loseLastStart()
    expect(agent.watch().reports).toEqual([])
    agent.answerLastStop('taken')
    expect(agent.watch().reports).toEqual([])
  })

  // Each order had a number of its own, and the next instance of the upstream ran the task under two of them at once.
  it('has one number in all of its orders, and is not started again where one of them was carried out', () => {
    agent.order(1)
    loseLastStart()
    expect(agent.starts.map(({ order: { run } }) => run)).toEqual([1, 1])
    agent.answerLastStart('old-run')
    agent.list({ ended: [{ number: 1, task: TASK, run: 1, kind: 'done' }] })
    expect(agent.starts).toHaveLength(2)
    expect(agent.watch().reports).toMatchObject([{ task: TASK, outcome: 'done' }])
  })

  // The entry could send it here again under a higher number, and the upstream carry out both.
  it('is stopped before it goes back after a rejection, while an earlier order may be carried out', () => {
    agent.order(1)
    loseLastStart()
    agent.answerLastStart('no-room')
    expect(agent.watch().reports).toEqual([])
    agent.answerLastStop('taken')
    agent.list()
    expect(agent.watch().reports).toMatchObject([{ task: TASK, outcome: 'not-started', reason: 'no-room' }])
  })

  // The stop is acknowledged by an instance that may end; the next one under its id knows nothing of it.
  it('tells its entry for how long the next instance may yet carry out an order', () => {
    agent.order(1)
    loseAllStarts()
    const [report] = agent.watch().reports
    expect(report?.openOrderMilliseconds).toBeGreaterThan(12_940)
    expect(report?.openOrderMilliseconds).toBeLessThanOrEqual(13_040)
  })

  it('is given back without such an order if the upstream rejects the last one', () => {
    agent.order(1)
    agent.answerLastStart('unhealthy')
    expect(agent.watch().reports[0]).not.toHaveProperty('openOrderMilliseconds')
  })
})

describe('an order without an answer of an entry that is gone', () => {
  // The caller's repeat went to another entry and agent; the next instance carried the order out beside it.
  it('is told to all entries until it is too old', () => {
    agent.order(1)
    agent.answerLastStart('unanswered')
    expect(agent.watch().profile).not.toHaveProperty('openOrders')
    agent.failListing('unreachable')
    agent.registry.tick(agent.advance(300))
    const wakeCount = agent.wakes.count
    expect(agent.watch().profile?.openOrders).toMatchObject([{ task: TASK }])
    agent.registry.tick(agent.advance(12_640))
    expect(agent.watch().profile?.openOrders).toMatchObject([{ task: TASK }])
    agent.registry.tick(agent.advance(200))
    // Entries have been told until when, so they are not called again.
    expect(agent.wakes.count).toBe(wakeCount)
    expect(agent.watch().profile).not.toHaveProperty('openOrders')
  })

  // Its entry and its agent may be lost together; a repeated order has started the run meanwhile, or ended it.
  it('is told to all entries also while its task runs, and when it is done', () => {
    agent.order(1)
    loseLastStart()
    agent.answerLastStart('taken')
    const wakeCount = agent.wakes.count
    agent.registry.tick(agent.advance(400))
    expect(agent.wakes.count).toBe(wakeCount + 1)
    expect(agent.watch().profile?.openOrders).toMatchObject([{ task: TASK }])
    agent.list({ ended: [{ number: 1, task: TASK, run: 1, kind: 'done' }] })
    expect(agent.watch().profile?.openOrders).toMatchObject([{ task: TASK }])
  })

  it('is told at once if its run was stopped before the order timed out', () => {
    agent.order(1)
    agent.stop(1)
    agent.answerLastStop('taken')
    agent.list()
    const { reports, profile } = agent.watch()
    expect(reports).toMatchObject([{ task: TASK, outcome: 'not-started' }])
    expect(profile?.openOrders).toMatchObject([{ task: TASK }])
  })

  it('is not told if the next listing shows that only its answer was lost', () => {
    agent.order(1)
    agent.answerLastStart('unanswered')
    agent.list({ running: [{ task: TASK, run: 1, percent: 1 }] })
    agent.registry.tick(agent.advance(400))
    expect(agent.watch().profile).not.toHaveProperty('openOrders')
  })

  it('of another agent is kept for all entries until it is too old', () => {
    const order = { task: TASK, agent: 'agent-2', incarnation: 'agent-2-1' }
    agent.registry.tick(agent.advance(500))
    agent.registry.answerOpenOrders({ orders: [{ ...order, milliseconds: 9_000 }] }, agent.advance(0))
    expect(agent.watch().profile?.keptOrders).toEqual([{ ...order, until: agent.advance(0) + 9_000 }])
    agent.registry.tick(agent.advance(9_000))
    expect(agent.watch().profile).not.toHaveProperty('keptOrders')
  })

  it('is told for as long after a suspension of the VM, which the clock of answers includes', () => {
    for (let listing = 0; listing < 4; listing += 1) agent.list()
    for (let listing = 0; listing < 4; listing += 1) agent.list({}, agent.advance(0) + 3_500)
    const { clock: heardAt } = agent.watch()
    agent.registry.answerStart({
      caller: { entry: 'entry-1', incarnation: 'entry-1-1', heardAt, heardFrom: 'agent-1' },
      specification: '{}',
      priority: 0,
      patienceMilliseconds: 100,
      orders: [
        { task: TASK, run: 1, size: { processor: 1_000, memory: 64, accelerators: 0 }, estimateMilliseconds: 100 }
      ]
    }, agent.advance(0))
    agent.answerLastStart('unanswered')
    agent.failListing('unreachable')
    agent.registry.tick(agent.advance(300))
    const { clock, profile } = agent.watch()
    expect((profile?.openOrders?.[0]?.until ?? 0) - clock).toBeGreaterThan(12_500)
  })
})
