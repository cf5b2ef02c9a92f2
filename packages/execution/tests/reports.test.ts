import { describe, expect, test } from 'vitest'
import type { AgentUnderTest } from './agent-under-test.js'
import {
  announcedMessage, START_TIME, createAgentUnderTest, createCall, createGroup, dispatchMessage, FIRST_ENTRY,
  SECOND_ENTRY, withdrawMessage
} from './agent-under-test.js'

function takeAnnouncements (agent: AgentUnderTest): Array<{ state: string, window: number }> {
  const found: Array<{ state: string, window: number }> = []
  for (const { message } of agent.sent.splice(0)) {
    if (message.method === 'announce') found.push({ state: message.parameters.state, window: message.parameters.window })
  }
  return found
}

describe('reports', () => {
  test('all outcomes between two flushes are sent to an entry in one report', () => {
    const agent = createAgentUnderTest({ slots: 10 })
    agent.grantLease()
    agent.receive(FIRST_ENTRY, dispatchMessage(createGroup('one', [0, 1]), createGroup('two', [0]), createCall('call')))
    for (const { submission, index } of [...agent.startedTasks]) agent.succeed(submission, index)
    agent.flush()
    agent.flush()
    const reports = agent.reports()
    expect(reports).toHaveLength(1)
    expect(reports[0]?.submissions.map(({ submission, ownership }) => [submission, ownership?.epoch])).toEqual(
      [['one', 1], ['two', 1], ['call', undefined]]
    )
  })

  test('a report is sent again with the same sequence number and growing intervals until it is acknowledged', () => {
    const agent = createAgentUnderTest()
    agent.grantLease()
    agent.receive(FIRST_ENTRY, dispatchMessage(createGroup('job', [0])))
    agent.succeed('job', 0)
    agent.flush()
    const [first] = agent.reports()
    const resentAt: number[] = []
    for (let elapsed = 100; elapsed <= 8_000; elapsed += 100) {
      agent.advance(100)
      agent.tick()
      for (const report of agent.reports()) {
        resentAt.push(elapsed)
        expect(report.sequence).toBe(first?.sequence)
        expect(report.submissions).toEqual(first?.submissions)
      }
    }
    expect(resentAt).toEqual([500, 1_500, 3_500, 7_500])
    agent.receive(FIRST_ENTRY, { method: 'acknowledge', parameters: { sequences: [first?.sequence ?? 0, 999] } })
    agent.advance(20_000)
    agent.tick()
    expect(agent.reports()).toEqual([])
    expect(agent.execution.isDrained()).toBe(true)
  })

  test('an unlisted entry is removed: reports of its calls are dropped, those of keyed tasks kept for the next owner', () => {
    const agent = createAgentUnderTest()
    agent.grantLease()
    agent.receive(FIRST_ENTRY, dispatchMessage(createGroup('job', [0]), createCall('call')))
    agent.succeed('job', 0)
    agent.succeed('call', 0)
    agent.flush()
    agent.advance(10_001)
    agent.tick()
    expect(agent.removedEntries).toEqual([])
    agent.receive(SECOND_ENTRY, announcedMessage(1, [SECOND_ENTRY]))
    agent.advance(500)
    agent.tick()
    expect(agent.removedEntries).toEqual([FIRST_ENTRY])
    expect(agent.execution.snapshot().unacknowledgedOutcomes).toBe(1)
    agent.receive(SECOND_ENTRY, { method: 'collect', parameters: { partitions: [{ partition: 7, epoch: 5 }] } })
    agent.flush()
    expect(agent.reports(SECOND_ENTRY)[0]?.submissions.map(({ submission }) => submission)).toEqual(['job'])
  })

  test.each([
    [{ kind: 'failed', detail: 'x'.repeat(5_000) }, { status: 'failed', detail: 'x'.repeat(500) }],
    [{ kind: 'silent' }, { status: 'outcome-unknown', reason: 'upstream-silent' }],
    [{ kind: 'unreached' }, { status: 'not-run', reason: 'no-worker' }],
    [{ kind: 'succeeded', answer: 1, answerBytes: 65_537 }, { status: 'failed' }]
  ] as const)('the result %o is reported with the matching outcome, and a second result is ignored', (result, outcome) => {
    const agent = createAgentUnderTest()
    agent.grantLease()
    agent.receive(FIRST_ENTRY, dispatchMessage(createGroup('job', [0])))
    agent.execution.handleResult('job', 0, result, agent.now())
    agent.execution.handleResult('job', 0, { kind: 'silent' }, agent.now())
    agent.flush()
    expect(agent.outcomes.get('job/0')).toMatchObject(outcome)
    expect(agent.violations).toEqual([])
  })

  test('a call is aborted at its time-out, and its slot becomes free when the aborted call has ended', () => {
    const agent = createAgentUnderTest({ slots: 1 })
    agent.grantLease()
    agent.receive(FIRST_ENTRY, dispatchMessage(createGroup('job', [0, 1], { timeoutMilliseconds: 1_000 })))
    agent.advance(1_000)
    agent.tick()
    agent.tick()
    expect(agent.abortedTasks).toEqual(['job/0'])
    expect(agent.startedTasks).toHaveLength(1)
    agent.execution.handleResult('job', 0, { kind: 'silent' }, agent.now())
    expect(agent.startedTasks).toHaveLength(2)
  })
})

describe('stored answers', () => {
  function agentWithAnswers (count: number): AgentUnderTest {
    const agent = createAgentUnderTest({ slots: count, maximumAnswerBytes: 30_000 })
    agent.grantLease()
    agent.receive(FIRST_ENTRY, dispatchMessage(createGroup('job', Array.from({ length: count }, (_task, index) => index))))
    for (let index = 0; index < count; index += 1) {
      const answer = { kind: 'succeeded', answer: index, answerBytes: 10_000 } as const
      agent.execution.handleResult('job', index, answer, agent.now())
    }
    agent.flush()
    return agent
  }

  test('above the budget the oldest acknowledged answers are dropped, and collected as unknown, not as not run', () => {
    const agent = agentWithAnswers(5)
    const sequences = agent.reports().map(({ sequence }) => sequence)
    agent.receive(FIRST_ENTRY, { method: 'acknowledge', parameters: { sequences } })
    agent.receive(SECOND_ENTRY, { method: 'collect', parameters: { partitions: [{ partition: 7, epoch: 5 }] } })
    const tasks = agent.collected(SECOND_ENTRY)[0]?.submissions[0]?.tasks ?? []
    expect(tasks.map(({ outcome }) => outcome?.status)).toEqual(
      ['outcome-unknown', 'outcome-unknown', 'succeeded', 'succeeded', 'succeeded']
    )
  })

  test('unacknowledged answers are kept above the budget, and the window is 0', () => {
    const agent = agentWithAnswers(5)
    expect([...agent.outcomes.values()].every(({ status }) => status === 'succeeded')).toBe(true)
    agent.grantLease()
    expect(takeAnnouncements(agent).at(-1)?.window).toBe(0)
  })
})

describe('withdrawals', () => {
  test('a withdrawn task never starts if it is queued or not dispatched yet, and is reported if it is running', () => {
    const agent = createAgentUnderTest({ slots: 1 })
    agent.grantLease()
    agent.receive(FIRST_ENTRY, dispatchMessage(createGroup('job', [0, 1, 2])))
    agent.receive(FIRST_ENTRY, withdrawMessage('job', [0, 1, 2, 3]))
    agent.receive(FIRST_ENTRY, dispatchMessage(createGroup('job', [3, 4])))
    agent.succeed('job', 0)
    agent.flush()
    expect(agent.startedTasks.map(({ index }) => index)).toEqual([0, 4])
    expect(agent.outcomes.get('job/0')).toMatchObject({ status: 'succeeded' })
    for (const index of [1, 2, 3]) {
      expect(agent.outcomes.get(`job/${index}`)).toEqual({ status: 'not-run', reason: 'withdrawn' })
    }
  })

  test('a new owner collects a withdrawal that came before its dispatch, once the dispatch gave the partition', () => {
    const agent = createAgentUnderTest()
    agent.grantLease()
    agent.receive(FIRST_ENTRY, withdrawMessage('job', [0]))
    agent.receive(FIRST_ENTRY, dispatchMessage(createGroup('job', [0])))
    agent.receive(SECOND_ENTRY, { method: 'collect', parameters: { partitions: [{ partition: 7, epoch: 5 }] } })
    expect(agent.collected(SECOND_ENTRY)[0]?.submissions[0]?.tasks).toEqual([
      { index: 0, state: 'finished', outcome: { status: 'not-run', reason: 'withdrawn' } }
    ])
    expect(agent.startedTasks).toEqual([])
  })
})

describe('slots and order', () => {
  test('urgent tasks start first, others in the order of arrival, and no more tasks run than there are slots', () => {
    const agent = createAgentUnderTest({ slots: 1 })
    agent.grantLease()
    agent.receive(FIRST_ENTRY, dispatchMessage(createGroup('a', [0, 1])))
    agent.receive(SECOND_ENTRY, dispatchMessage(createCall('b'), createCall('c', { urgent: true })))
    const order: string[] = []
    for (;;) {
      const task = agent.startedTasks[order.length]
      if (task === undefined) break
      expect(agent.execution.snapshot().runningTasks).toBe(1)
      order.push(task.submission)
      agent.succeed(task.submission, task.index)
    }
    expect(order).toEqual(['a', 'c', 'a', 'b'])
  })

  test('a task above the maximum number of queued tasks is refused', () => {
    const agent = createAgentUnderTest({ slots: 1, maximumQueuedTasks: 3 })
    agent.grantLease()
    agent.receive(FIRST_ENTRY, dispatchMessage(createGroup('job', [0, 1, 2, 3, 4, 5])))
    agent.flush()
    // No task starts before all tasks of the dispatch are queued, so three tasks fill the queue.
    expect([...agent.outcomes]).toEqual([3, 4, 5].map(
      index => [`job/${index}`, { status: 'not-run', reason: 'window-exceeded' }]
    ))
  })
})

describe('graceful shutdown and unreachable upstream', () => {
  test('a leaving agent refuses queued tasks and the dispatches of all entries, even if they missed the announcement', () => {
    const agent = createAgentUnderTest({ slots: 1 })
    agent.grantLease()
    agent.receive(FIRST_ENTRY, dispatchMessage(createGroup('job', [0, 1])))
    agent.execution.leave(agent.now())
    agent.receive(SECOND_ENTRY, dispatchMessage(createCall('call')))
    agent.flush()
    expect(takeAnnouncements(agent)).toContainEqual({ state: 'leaving', window: 0 })
    expect(agent.outcomes.get('job/1')).toEqual({ status: 'not-run', reason: 'leaving' })
    expect(agent.outcomes.get('call/0')).toEqual({ status: 'not-run', reason: 'leaving' })
    expect(agent.execution.isDrained()).toBe(false)
    agent.succeed('job', 0)
    agent.flush()
    expect(agent.outcomes.get('job/0')).toMatchObject({ status: 'succeeded' })
  })

  test('while the upstream refuses connections the window is 0 and dispatches are refused immediately', () => {
    const agent = createAgentUnderTest({ slots: 1 })
    agent.grantLease()
    agent.receive(FIRST_ENTRY, dispatchMessage(createGroup('job', [0, 1])))
    agent.execution.handleResult('job', 0, { kind: 'unreached' }, agent.now())
    agent.receive(FIRST_ENTRY, dispatchMessage(createGroup('job', [2])))
    agent.flush()
    expect(takeAnnouncements(agent).at(-1)).toEqual({ state: 'active', window: 0 })
    expect(agent.outcomes.size).toBe(3)
    agent.execution.handleUpstreamReachable(agent.now())
    agent.flush()
    expect(takeAnnouncements(agent).at(-1)?.window).toBeGreaterThan(0)
    agent.receive(FIRST_ENTRY, dispatchMessage(createGroup('job', [3])))
    expect(agent.startedTasks.map(({ index }) => index)).toEqual([0, 3])
  })
})

describe('registers', () => {
  function policyMessage (version: number, prefetchTasks: number, position: number) {
    const value = { name: 'default', placement: 'late-binding', prefetchTasks, retryShare: 0.1, hedge: false }
    return {
      method: 'announced' as const,
      parameters: {
        sequence: 1,
        standing: 'joined' as const,
        entries: [],
        registers: [{ register: 'policy/default', version, value }],
        configurationPosition: position
      }
    }
  }

  test('a policy sets the number of prefetched tasks, and an older version is ignored', () => {
    const agent = createAgentUnderTest()
    agent.receive(FIRST_ENTRY, policyMessage(20, 6, 21))
    agent.receive(SECOND_ENTRY, policyMessage(10, 2, 12))
    expect(agent.execution.snapshot()).toMatchObject({ prefetchTasks: 6, configurationPosition: 21 })
  })

  test('heartbeats are sent to the seed addresses until an entry answers', () => {
    const agent = createAgentUnderTest()
    for (let round = 0; round < 3; round += 1) {
      agent.tick()
      agent.advance(500)
    }
    expect(agent.seedAnnounces.map(({ sequence }) => sequence)).toEqual([1, 2, 3])
    agent.receive(FIRST_ENTRY, announcedMessage(3, [FIRST_ENTRY, SECOND_ENTRY]))
    agent.tick()
    expect(agent.seedAnnounces).toHaveLength(3)
    expect(agent.sent.map(({ to }) => to)).toEqual([FIRST_ENTRY, SECOND_ENTRY])
    expect(agent.now()).toBe(START_TIME + 1_500)
  })
})
