import { describe, expect, test } from 'vitest'
import { START_RULES } from '@baobabpost/execution'
import type { NotRunReason } from '@baobabpost/messages'
import {
  announcedMessage, collectMessage, createAgentUnderTest, createCall, createGroup, dispatchMessage, FIRST_ENTRY,
  ownedWithdrawMessage, registersMessage, SECOND_ENTRY, START_TIME, type AgentUnderTest
} from './agent-under-test.js'

const EVACUATION = 'evacuation/dakar-1'

/** For each start rule, an event after which the rule refuses a task that is queued or dispatched. */
const CASES: ReadonlyArray<{ reason: NotRunReason, preventStart: (agent: AgentUnderTest) => void }> = [
  {
    reason: 'stale-epoch',
    preventStart: agent => {
      agent.receive(SECOND_ENTRY, dispatchMessage(createGroup('other', [0], { ownership: { partition: 7, epoch: 2 } })))
    }
  },
  { reason: 'leaving', preventStart: agent => { agent.execution.leave(agent.now()) } },
  { reason: 'evacuated', preventStart: agent => { agent.receive(SECOND_ENTRY, registersMessage(EVACUATION, 9)) } },
  { reason: 'lease-lapsed', preventStart: agent => { agent.advance(3_000) } },
  { reason: 'expired', preventStart: agent => { agent.advance(1_400) } }
]

function createAgentWithQueuedTask (omittedRule: NotRunReason | undefined): AgentUnderTest {
  const agent = createAgentUnderTest({ startRules: START_RULES.filter(({ reason }) => reason !== omittedRule) })
  agent.grantLease()
  const group = createGroup('job', [0, 1, 2], { startBefore: START_TIME + 1_500 })
  agent.receive(FIRST_ENTRY, dispatchMessage(omittedRule === 'lease-lapsed' ? { ...group, startBefore: START_TIME + 60_000 } : group))
  expect(agent.startedTasks.map(({ index }) => index)).toEqual([0, 1])
  return agent
}

describe('start rules', () => {
  for (const { reason, preventStart } of CASES) {
    test(`${reason}: a queued task is not started when a slot becomes free, and is reported as not run`, () => {
      const agent = createAgentWithQueuedTask(undefined)
      if (reason === 'lease-lapsed') agent.receive(FIRST_ENTRY, dispatchMessage(createGroup('job', [3])))
      preventStart(agent)
      agent.succeed('job', 0)
      agent.flush()
      expect(agent.startedTasks.filter(({ submission }) => submission === 'job')).toHaveLength(2)
      expect(agent.outcomes.get(reason === 'lease-lapsed' ? 'job/3' : 'job/2')).toEqual({ status: 'not-run', reason })
      expect(agent.violations).toEqual([])
    })

    test(`${reason}: a later dispatch is refused, and its repetition with a valid lease is refused too`, () => {
      const agent = createAgentUnderTest()
      agent.grantLease()
      agent.receive(FIRST_ENTRY, dispatchMessage(createGroup('busy', [0, 1])))
      preventStart(agent)
      const group = createGroup('job', [0], { startBefore: START_TIME + 1_500 })
      const late = reason === 'lease-lapsed' ? { ...group, startBefore: START_TIME + 60_000 } : group
      agent.receive(FIRST_ENTRY, dispatchMessage(late))
      agent.flush()
      expect(agent.outcomes.get('job/0')).toEqual({ status: 'not-run', reason })
      agent.grantLease()
      agent.receive(FIRST_ENTRY, dispatchMessage({ ...late, startBefore: START_TIME + 90_000 }))
      agent.succeed('busy', 0)
      agent.succeed('busy', 1)
      expect(agent.startedTasks.some(({ submission }) => submission === 'job')).toBe(false)
    })
  }

  test.each(['lease-lapsed', 'expired'] as const)('%s: without the rule the queued task starts, and the start is reported as a violation', reason => {
    const agent = createAgentWithQueuedTask(reason)
    CASES.find(one => one.reason === reason)?.preventStart(agent)
    agent.succeed('job', 0)
    expect(agent.startedTasks).toHaveLength(3)
    expect(agent.violations.join()).toContain('start-allowed')
  })

  test.each(['stale-epoch', 'leaving', 'evacuated'] as const)('%s: without the rule a late dispatch starts, and the start is reported as a violation', reason => {
    const agent = createAgentUnderTest({ startRules: START_RULES.filter(rule => rule.reason !== reason) })
    agent.grantLease()
    CASES.find(one => one.reason === reason)?.preventStart(agent)
    agent.receive(FIRST_ENTRY, dispatchMessage(createGroup('late', [0])))
    expect(agent.startedTasks.some(({ submission }) => submission === 'late')).toBe(true)
    expect(agent.violations.join()).toContain('start-allowed')
  })
})

describe('an agent that operators forbid to start anything', () => {
  // Entries that lag, or were cut off, know nothing of the evacuation and send tasks all the same.
  test.each([[EVACUATION, 'evacuated'], ['drain/agent-1', 'leaving']] as const)(
    '%s: refuses what entries send until it hears of a newer version', (register, reason) => {
      const agent = createAgentUnderTest()
      agent.grantLease()
      agent.receive(SECOND_ENTRY, registersMessage(register, 9))
      agent.receive(FIRST_ENTRY, dispatchMessage(createGroup('first', [0])))
      agent.receive(FIRST_ENTRY, registersMessage(register, 8, null))
      agent.receive(FIRST_ENTRY, announcedMessage(0, [FIRST_ENTRY]))
      agent.receive(FIRST_ENTRY, dispatchMessage(createGroup('second', [0])))
      agent.flush()
      expect(agent.startedTasks).toEqual([])
      expect(agent.outcomes.get('first/0')).toEqual({ status: 'not-run', reason })
      expect(agent.outcomes.get('second/0')).toEqual({ status: 'not-run', reason })
      agent.receive(FIRST_ENTRY, registersMessage(register, 10, null))
      agent.receive(FIRST_ENTRY, dispatchMessage(createGroup('third', [0])))
      expect(agent.startedTasks).toHaveLength(1)
    })

  test('refuses its queued tasks at once, completes the running ones, and gives entries no window', () => {
    const agent = createAgentWithQueuedTask(undefined)
    agent.receive(SECOND_ENTRY, registersMessage(EVACUATION, 9))
    agent.flush()
    expect(agent.outcomes.get('job/2')).toEqual({ status: 'not-run', reason: 'evacuated' })
    expect([...agent.execution.snapshot().windows.values()].every(window => window === 0)).toBe(true)
    agent.succeed('job', 0)
    agent.flush()
    expect(agent.outcomes.get('job/0')).toMatchObject({ status: 'succeeded' })
    expect(agent.abortedTasks).toEqual([])
  })

  test('knows it after a restart with the answer that gives it a lease, before any start', () => {
    const agent = createAgentUnderTest()
    agent.tick()
    const sequence = agent.seedAnnounces[0]?.sequence ?? 0
    agent.receive(FIRST_ENTRY, dispatchMessage(createGroup('early', [0])))
    agent.receive(FIRST_ENTRY, registersMessage(EVACUATION, 9, {}, sequence))
    agent.receive(FIRST_ENTRY, dispatchMessage(createGroup('late', [0])))
    expect(agent.startedTasks).toEqual([])
  })

  test('ignores the evacuation of another domain and the drain of another agent, and no message extends its lease', () => {
    const agent = createAgentUnderTest()
    agent.grantLease()
    const { leaseUntil } = agent.execution.snapshot()
    agent.advance(1_000)
    for (const register of ['evacuation/dakar-2', 'drain/agent-2']) agent.receive(FIRST_ENTRY, registersMessage(register, 9))
    expect(agent.execution.snapshot().leaseUntil).toBe(leaseUntil)
    agent.receive(FIRST_ENTRY, dispatchMessage(createGroup('job', [0])))
    expect(agent.startedTasks).toHaveLength(1)
  })
})

describe('task memory', () => {
  test('a repeated dispatch starts no task again, whether the task is queued, running or finished', () => {
    const agent = createAgentUnderTest({ slots: 1 })
    agent.grantLease()
    const group = createGroup('job', [0, 1])
    agent.receive(FIRST_ENTRY, dispatchMessage(group))
    agent.receive(FIRST_ENTRY, dispatchMessage(group))
    agent.succeed('job', 0)
    agent.succeed('job', 1)
    agent.receive(FIRST_ENTRY, dispatchMessage(group, group))
    expect(agent.startedTasks.map(({ index }) => index)).toEqual([0, 1])
  })

  test('a repeated dispatch of a finished task gets its outcome again, even if it was acknowledged', () => {
    const agent = createAgentUnderTest()
    agent.grantLease()
    agent.receive(FIRST_ENTRY, dispatchMessage(createGroup('job', [0])))
    agent.succeed('job', 0)
    agent.flush()
    const sequences = agent.reports().map(({ sequence }) => sequence)
    agent.receive(FIRST_ENTRY, { method: 'acknowledge', parameters: { sequences } })
    expect(agent.execution.isDrained()).toBe(true)
    agent.receive(FIRST_ENTRY, dispatchMessage(createGroup('job', [0])))
    agent.flush()
    expect(agent.reports()[0]?.submissions[0]?.tasks[0]?.outcome).toEqual({ status: 'succeeded', answer: { index: 0 } })
  })

  test('an agent that evicts finished tasks immediately starts a repeated dispatch again', () => {
    const agent = createAgentUnderTest({ keyWindowMilliseconds: 0, clockSkewMilliseconds: 0 })
    agent.grantLease()
    for (let copy = 0; copy < 2; copy += 1) {
      const startBefore = agent.now() + 1
      agent.receive(FIRST_ENTRY, dispatchMessage(createGroup('job', [0], { startBefore })))
      agent.succeed('job', 0)
      agent.grantLease()
    }
    expect(agent.startedTasks).toHaveLength(2)
  })

  test('tasks are evicted when the key window and twice the clock skew have passed since their last event', () => {
    const agent = createAgentUnderTest({ keyWindowMilliseconds: 10_000, clockSkewMilliseconds: 500 })
    agent.grantLease()
    agent.receive(FIRST_ENTRY, dispatchMessage(createGroup('job', [0, 1], { startBefore: START_TIME + 2_000 })))
    agent.succeed('job', 0)
    agent.advance(10_900)
    agent.tick()
    agent.succeed('job', 1)
    agent.advance(10_900)
    agent.tick()
    expect(agent.execution.snapshot().rememberedTasks).toBe(2)
    agent.advance(11_000)
    agent.tick()
    expect(agent.execution.snapshot().rememberedTasks).toBe(0)
  })
})

test('a task is not evicted while a delayed copy of its dispatch could still start it', () => {
  const agent = createAgentUnderTest({ keyWindowMilliseconds: 0, clockSkewMilliseconds: 0 })
  agent.grantLease()
  const call = createCall('call', { startBefore: START_TIME + 90_000 })
  agent.receive(FIRST_ENTRY, dispatchMessage(call))
  agent.succeed('call', 0)
  for (let round = 0; round < 180; round += 1) {
    agent.grantLease()
    agent.receive(FIRST_ENTRY, dispatchMessage(call))
  }
  expect(agent.startedTasks).toHaveLength(1)
})

describe('heartbeat lease', () => {
  test('counts from the sending of the heartbeat, even if the acknowledgement is late', () => {
    const agent = createAgentUnderTest()
    agent.tick()
    const sequence = agent.seedAnnounces[0]?.sequence ?? 0
    agent.advance(2_900)
    agent.receive(FIRST_ENTRY, announcedMessage(sequence, [FIRST_ENTRY]))
    expect(agent.execution.snapshot().leaseUntil).toBe(START_TIME + 3_000)
    agent.advance(100)
    agent.receive(FIRST_ENTRY, dispatchMessage(createGroup('job', [0])))
    expect(agent.startedTasks).toEqual([])
  })

  test('after a process pause the agent starts no task until a new heartbeat is acknowledged', () => {
    const agent = createAgentUnderTest({ slots: 1 })
    agent.grantLease()
    agent.receive(FIRST_ENTRY, dispatchMessage(createGroup('job', [0, 1])))
    agent.advance(10_000)
    agent.succeed('job', 0)
    agent.receive(FIRST_ENTRY, dispatchMessage(createGroup('next', [0])))
    expect(agent.startedTasks).toHaveLength(1)
    agent.grantLease()
    agent.receive(FIRST_ENTRY, dispatchMessage(createGroup('after', [0])))
    expect(agent.startedTasks).toHaveLength(2)
  })

  test('after departure no acknowledgement renews the lease, and running tasks are still reported', () => {
    const agent = createAgentUnderTest({ slots: 1 })
    agent.grantLease()
    agent.receive(FIRST_ENTRY, dispatchMessage(createGroup('job', [0, 1])))
    agent.receive(FIRST_ENTRY, announcedMessage(1, [FIRST_ENTRY], 'departed'))
    agent.receive(SECOND_ENTRY, announcedMessage(1, [FIRST_ENTRY], 'joined'))
    agent.succeed('job', 0)
    agent.receive(FIRST_ENTRY, dispatchMessage(createGroup('next', [0])))
    agent.flush()
    expect(agent.startedTasks).toHaveLength(1)
    expect(agent.outcomes.get('job/0')).toMatchObject({ status: 'succeeded' })
    expect(agent.outcomes.get('job/1')).toEqual({ status: 'not-run', reason: 'lease-lapsed' })
    expect(agent.execution.snapshot().state).toBe('departed')
  })
})

describe('takeover', () => {
  test('a new owner collects all tasks, its queued tasks still run, and it receives all later outcomes', () => {
    const agent = createAgentUnderTest({ slots: 1 })
    agent.grantLease()
    agent.receive(FIRST_ENTRY, dispatchMessage(createGroup('job', [0, 1, 2])))
    agent.succeed('job', 0)
    agent.receive(SECOND_ENTRY, collectMessage(7, 5))
    expect(agent.collected(SECOND_ENTRY)[0]?.submissions[0]?.tasks).toEqual([
      { index: 0, state: 'finished', outcome: { status: 'succeeded', answer: { index: 0 } } },
      { index: 1, state: 'running' },
      { index: 2, state: 'queued' }
    ])
    agent.succeed('job', 1)
    agent.succeed('job', 2)
    agent.flush()
    expect(agent.reports(FIRST_ENTRY)).toEqual([])
    const tasks = agent.reports(SECOND_ENTRY).flatMap(report => report.submissions.flatMap(one => one.tasks))
    expect(tasks.map(({ index }) => index).sort()).toEqual([0, 1, 2])
    expect(agent.violations).toEqual([])
  })

  test('a new owner collects a withdrawal of undispatched tasks, and a former owner cannot withdraw any', () => {
    const agent = createAgentUnderTest()
    agent.grantLease()
    agent.receive(FIRST_ENTRY, ownedWithdrawMessage('job', [0, 1], 2, { partition: 7, epoch: 1 }))
    agent.receive(SECOND_ENTRY, collectMessage(7, 5))
    agent.receive(FIRST_ENTRY, ownedWithdrawMessage('other', [0], 1, { partition: 7, epoch: 1 }))
    agent.flush()
    const withdrawn = { state: 'finished', outcome: { status: 'not-run', reason: 'withdrawn' } }
    expect(agent.collected(SECOND_ENTRY).flatMap(({ submissions }) => submissions)).toMatchObject([
      { header: { submission: 'job' }, partition: 7, tasks: [{ index: 0, ...withdrawn }, { index: 1, ...withdrawn }] }
    ])
    expect(agent.outcomes.get('other/0')).toBeUndefined()
  })

  test('the former owner gets no report about tasks it lost, and its stale collect changes no ownership', () => {
    const agent = createAgentUnderTest({ slots: 1 })
    agent.grantLease()
    agent.receive(FIRST_ENTRY, dispatchMessage(createGroup('job', [0, 1])))
    agent.receive(SECOND_ENTRY, collectMessage(7, 5))
    agent.receive(FIRST_ENTRY, collectMessage(7, 1))
    agent.receive(FIRST_ENTRY, dispatchMessage(createGroup('job', [0, 1, 2])))
    agent.flush()
    expect(agent.collected(FIRST_ENTRY)).toEqual([])
    const reportedTasks = agent.reports(FIRST_ENTRY).flatMap(report => report.submissions.flatMap(one => one.tasks))
    expect(reportedTasks).toEqual([{ index: 2, outcome: { status: 'not-run', reason: 'stale-epoch' }, runMilliseconds: 0 }])
    agent.receive(SECOND_ENTRY, dispatchMessage(createGroup('job', [2], { ownership: { partition: 7, epoch: 5 } })))
    agent.succeed('job', 0)
    agent.succeed('job', 1)
    expect(agent.startedTasks.map(({ index }) => index)).toEqual([0, 1, 2])
  })

  test('parts of the answers to a collect and to its repetition can be combined', () => {
    const agent = createAgentUnderTest({ slots: 100, keyWindowMilliseconds: 600_000 })
    agent.grantLease()
    const indexes = Array.from({ length: 1_250 }, (_task, index) => index)
    agent.receive(FIRST_ENTRY, dispatchMessage(createGroup('job', indexes)))
    agent.receive(SECOND_ENTRY, collectMessage(7, 5))
    const first = agent.collected(SECOND_ENTRY)
    agent.receive(SECOND_ENTRY, dispatchMessage(createGroup('new', indexes, { ownership: { partition: 7, epoch: 5 } })))
    agent.receive(SECOND_ENTRY, collectMessage(7, 5))
    const second = agent.collected(SECOND_ENTRY)
    expect(first.map(({ part, parts }) => `${part}/${parts}`)).toEqual(['0/3', '1/3', '2/3'])
    expect(second.map(({ part, parts }) => `${part}/${parts}`)).toEqual(['0/3', '1/3', '2/3'])
    const mixed = [first[0]!, second[1]!, first[2]!].flatMap(part => part.submissions.flatMap(one => one.tasks))
    expect(mixed.map(({ index }) => index)).toEqual(indexes)
  })

  test('a collect of a partition without tasks is answered with an empty part', () => {
    const agent = createAgentUnderTest()
    agent.receive(SECOND_ENTRY, collectMessage(9, 5))
    expect(agent.collected(SECOND_ENTRY)).toEqual([
      { partitions: [{ partition: 9, epoch: 5 }], part: 0, parts: 1, submissions: [] }
    ])
  })
})
