import { describe, expect, test } from 'vitest'
import type { AgentUnderTest } from './agent-under-test.js'
import {
  announcedMessage, BEGIN, createAgentUnderTest, createCall, createGroup, dispatchMessage, FIRST_ENTRY, SECOND_ENTRY,
  withdrawMessage
} from './agent-under-test.js'

function announces (agent: AgentUnderTest): Array<{ state: string, window: number }> {
  const found: Array<{ state: string, window: number }> = []
  for (const { message } of agent.sent.splice(0)) {
    if (message.method === 'announce') found.push({ state: message.parameters.state, window: message.parameters.window })
  }
  return found
}

describe('reports', () => {
  test('all outcomes of a turn for one entry travel in one report', () => {
    const agent = createAgentUnderTest({ slots: 10 })
    agent.grantLease()
    agent.receive(FIRST_ENTRY, dispatchMessage(createGroup('one', [0, 1]), createGroup('two', [0]), createCall('call')))
    for (const { submission, index } of [...agent.started]) agent.succeed(submission, index)
    agent.flush()
    agent.flush()
    const reports = agent.reports()
    expect(reports).toHaveLength(1)
    expect(reports[0]?.submissions.map(({ submission, ownership }) => [submission, ownership?.epoch])).toEqual(
      [['one', 1], ['two', 1], ['call', undefined]]
    )
  })

  test('a report is repeated under its number until it is acknowledged, less and less often', () => {
    const agent = createAgentUnderTest()
    agent.grantLease()
    agent.receive(FIRST_ENTRY, dispatchMessage(createGroup('job', [0])))
    agent.succeed('job', 0)
    agent.flush()
    const [first] = agent.reports()
    const repeatedAt: number[] = []
    for (let waited = 100; waited <= 8_000; waited += 100) {
      agent.pass(100)
      agent.tick()
      for (const report of agent.reports()) {
        repeatedAt.push(waited)
        expect(report.sequence).toBe(first?.sequence)
        expect(report.submissions).toEqual(first?.submissions)
      }
    }
    expect(repeatedAt).toEqual([500, 1_500, 3_500, 7_500])
    agent.receive(FIRST_ENTRY, { method: 'acknowledge', parameters: { sequences: [first?.sequence ?? 0, 999] } })
    agent.pass(20_000)
    agent.tick()
    expect(agent.reports()).toEqual([])
    expect(agent.execution.isDrained()).toBe(true)
  })

  test('an entry that nobody names any more is gone: its calls are dropped, its keyed work waits for the next owner', () => {
    const agent = createAgentUnderTest()
    agent.grantLease()
    agent.receive(FIRST_ENTRY, dispatchMessage(createGroup('job', [0]), createCall('call')))
    agent.succeed('job', 0)
    agent.succeed('call', 0)
    agent.flush()
    agent.pass(10_001)
    agent.tick()
    expect(agent.gone).toEqual([])
    agent.receive(SECOND_ENTRY, announcedMessage(1, [SECOND_ENTRY]))
    agent.pass(500)
    agent.tick()
    expect(agent.gone).toEqual([FIRST_ENTRY])
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
  ] as const)('the end %o is told as it was', (result, outcome) => {
    const agent = createAgentUnderTest()
    agent.grantLease()
    agent.receive(FIRST_ENTRY, dispatchMessage(createGroup('job', [0])))
    agent.execution.handleResult('job', 0, result, agent.now())
    agent.execution.handleResult('job', 0, { kind: 'silent' }, agent.now())
    agent.flush()
    expect(agent.outcomes.get('job/0')).toMatchObject(outcome)
    expect(agent.violations).toEqual([])
  })

  test('a call that the upstream does not answer in time is given up; its slot is free once the call has ended', () => {
    const agent = createAgentUnderTest({ slots: 1 })
    agent.grantLease()
    agent.receive(FIRST_ENTRY, dispatchMessage(createGroup('job', [0, 1], { timeoutMilliseconds: 1_000 })))
    agent.pass(1_000)
    agent.tick()
    agent.tick()
    expect(agent.aborted).toEqual(['job/0'])
    expect(agent.started).toHaveLength(1)
    agent.execution.handleResult('job', 0, { kind: 'silent' }, agent.now())
    expect(agent.started).toHaveLength(2)
  })
})

describe('remembered answers', () => {
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

  test('beyond the budget the oldest that were delivered are dropped, and told as unknown, never as not run', () => {
    const agent = agentWithAnswers(5)
    const sequences = agent.reports().map(({ sequence }) => sequence)
    agent.receive(FIRST_ENTRY, { method: 'acknowledge', parameters: { sequences } })
    agent.receive(SECOND_ENTRY, { method: 'collect', parameters: { partitions: [{ partition: 7, epoch: 5 }] } })
    const tasks = agent.collected(SECOND_ENTRY)[0]?.submissions[0]?.tasks ?? []
    expect(tasks.map(({ outcome }) => outcome?.status)).toEqual(
      ['outcome-unknown', 'outcome-unknown', 'succeeded', 'succeeded', 'succeeded']
    )
  })

  test('answers that nobody has taken in are kept, and the window is 0 until they are', () => {
    const agent = agentWithAnswers(5)
    expect([...agent.outcomes.values()].every(({ status }) => status === 'succeeded')).toBe(true)
    agent.grantLease()
    expect(announces(agent).at(-1)?.window).toBe(0)
  })
})

describe('withdrawals', () => {
  test('a wave in one message: what waits never starts, what runs is reported, what is unknown stays refused', () => {
    const agent = createAgentUnderTest({ slots: 1 })
    agent.grantLease()
    agent.receive(FIRST_ENTRY, dispatchMessage(createGroup('job', [0, 1, 2])))
    agent.receive(FIRST_ENTRY, withdrawMessage('job', [0, 1, 2, 3]))
    agent.receive(FIRST_ENTRY, dispatchMessage(createGroup('job', [3, 4])))
    agent.succeed('job', 0)
    agent.flush()
    expect(agent.started.map(({ index }) => index)).toEqual([0, 4])
    expect(agent.outcomes.get('job/0')).toMatchObject({ status: 'succeeded' })
    for (const index of [1, 2, 3]) {
      expect(agent.outcomes.get(`job/${index}`)).toEqual({ status: 'not-run', reason: 'withdrawn' })
    }
  })

  test('a withdrawal ahead of its dispatch is told to the new owner too, once the dispatch says whose it is', () => {
    const agent = createAgentUnderTest()
    agent.grantLease()
    agent.receive(FIRST_ENTRY, withdrawMessage('job', [0]))
    agent.receive(FIRST_ENTRY, dispatchMessage(createGroup('job', [0])))
    agent.receive(SECOND_ENTRY, { method: 'collect', parameters: { partitions: [{ partition: 7, epoch: 5 }] } })
    expect(agent.collected(SECOND_ENTRY)[0]?.submissions[0]?.tasks).toEqual([
      { index: 0, state: 'finished', outcome: { status: 'not-run', reason: 'withdrawn' } }
    ])
    expect(agent.started).toEqual([])
  })
})

describe('slots and order', () => {
  test('urgent tasks go first, then the order of arrival, and never more run than there are slots', () => {
    const agent = createAgentUnderTest({ slots: 1 })
    agent.grantLease()
    agent.receive(FIRST_ENTRY, dispatchMessage(createGroup('a', [0, 1])))
    agent.receive(SECOND_ENTRY, dispatchMessage(createCall('b'), createCall('c', { urgent: true })))
    const order: string[] = []
    for (;;) {
      const task = agent.started[order.length]
      if (task === undefined) break
      expect(agent.execution.snapshot().runningTasks).toBe(1)
      order.push(task.submission)
      agent.succeed(task.submission, task.index)
    }
    expect(order).toEqual(['a', 'c', 'a', 'b'])
  })

  test('a task beyond the hard bound is refused', () => {
    const agent = createAgentUnderTest({ slots: 1, maximumQueuedTasks: 3 })
    agent.grantLease()
    agent.receive(FIRST_ENTRY, dispatchMessage(createGroup('job', [0, 1, 2, 3, 4, 5])))
    agent.flush()
    // All tasks of a dispatch wait until its last was taken in.
    expect([...agent.outcomes]).toEqual([3, 4, 5].map(
      index => [`job/${index}`, { status: 'not-run', reason: 'window-exceeded' }]
    ))
  })
})

describe('leaving and the state of the upstream', () => {
  test('leaving refuses dispatches of any entry, also one that missed the announcement, and gives back what waits', () => {
    const agent = createAgentUnderTest({ slots: 1 })
    agent.grantLease()
    agent.receive(FIRST_ENTRY, dispatchMessage(createGroup('job', [0, 1])))
    agent.execution.leave(agent.now())
    agent.receive(SECOND_ENTRY, dispatchMessage(createCall('call')))
    agent.flush()
    expect(announces(agent)).toContainEqual({ state: 'leaving', window: 0 })
    expect(agent.outcomes.get('job/1')).toEqual({ status: 'not-run', reason: 'leaving' })
    expect(agent.outcomes.get('call/0')).toEqual({ status: 'not-run', reason: 'leaving' })
    expect(agent.execution.isDrained()).toBe(false)
    agent.succeed('job', 0)
    agent.flush()
    expect(agent.outcomes.get('job/0')).toMatchObject({ status: 'succeeded' })
  })

  test('while the upstream refuses connections the window is 0 and work is refused at once', () => {
    const agent = createAgentUnderTest({ slots: 1 })
    agent.grantLease()
    agent.receive(FIRST_ENTRY, dispatchMessage(createGroup('job', [0, 1])))
    agent.execution.handleResult('job', 0, { kind: 'unreached' }, agent.now())
    agent.receive(FIRST_ENTRY, dispatchMessage(createGroup('job', [2])))
    agent.flush()
    expect(announces(agent).at(-1)).toEqual({ state: 'active', window: 0 })
    expect(agent.outcomes.size).toBe(3)
    agent.execution.handleUpstreamReachable(agent.now())
    agent.flush()
    expect(announces(agent).at(-1)?.window).toBeGreaterThan(0)
    agent.receive(FIRST_ENTRY, dispatchMessage(createGroup('job', [3])))
    expect(agent.started.map(({ index }) => index)).toEqual([0, 3])
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

  test('a policy sets the prefetch; an older version from an entry that is behind changes nothing', () => {
    const agent = createAgentUnderTest()
    agent.receive(FIRST_ENTRY, policyMessage(20, 6, 21))
    agent.receive(SECOND_ENTRY, policyMessage(10, 2, 12))
    expect(agent.execution.snapshot()).toMatchObject({ prefetchTasks: 6, configurationPosition: 21 })
  })

  test('seeds are announced to until an entry answers', () => {
    const agent = createAgentUnderTest()
    for (let round = 0; round < 3; round += 1) {
      agent.tick()
      agent.pass(500)
    }
    expect(agent.seedAnnounces.map(({ sequence }) => sequence)).toEqual([1, 2, 3])
    agent.receive(FIRST_ENTRY, announcedMessage(3, [FIRST_ENTRY, SECOND_ENTRY]))
    agent.tick()
    expect(agent.seedAnnounces).toHaveLength(3)
    expect(agent.sent.map(({ to }) => to)).toEqual([FIRST_ENTRY, SECOND_ENTRY])
    expect(agent.now()).toBe(BEGIN + 1_500)
  })
})
