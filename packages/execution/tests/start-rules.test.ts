import { describe, expect, test } from 'vitest'
import { START_RULES } from '@baobabpost/execution'
import type { NotRunReason } from '@baobabpost/messages'
import {
  announcedMessage, BEGIN, collectMessage, createAgentUnderTest, createCall, createGroup, dispatchMessage, FIRST_ENTRY,
  recordMessage,
  SECOND_ENTRY, type AgentUnderTest
} from './agent-under-test.js'

/** Lets both slots be taken and one task wait, then brings about what forbids its start, then frees a slot. */
const CASES: ReadonlyArray<{ reason: NotRunReason, forbid: (agent: AgentUnderTest) => void }> = [
  {
    reason: 'stale-epoch',
    forbid: agent => {
      agent.receive(SECOND_ENTRY, dispatchMessage(createGroup('other', [0], { ownership: { partition: 7, epoch: 2 } })))
    }
  },
  { reason: 'leaving', forbid: agent => { agent.execution.leave(agent.now()) } },
  { reason: 'lease-lapsed', forbid: agent => { agent.pass(3_000) } },
  { reason: 'expired', forbid: agent => { agent.pass(1_400) } }
]

function waitingTask (withoutRule: NotRunReason | undefined): AgentUnderTest {
  const agent = createAgentUnderTest({ startRules: START_RULES.filter(({ reason }) => reason !== withoutRule) })
  agent.grantLease()
  const group = createGroup('job', [0, 1, 2], { startBefore: BEGIN + 1_500 })
  agent.receive(FIRST_ENTRY, dispatchMessage(withoutRule === 'lease-lapsed' ? { ...group, startBefore: BEGIN + 60_000 } : group))
  expect(agent.started.map(({ index }) => index)).toEqual([0, 1])
  return agent
}

describe('the fence at the very moment of the start', () => {
  for (const { reason, forbid } of CASES) {
    test(`${reason}: a task that waited is not started any more and is reported not run`, () => {
      const agent = waitingTask(undefined)
      if (reason === 'lease-lapsed') agent.receive(FIRST_ENTRY, dispatchMessage(createGroup('job', [3])))
      forbid(agent)
      agent.succeed('job', 0)
      agent.flush()
      expect(agent.started.filter(({ submission }) => submission === 'job')).toHaveLength(2)
      expect(agent.outcomes.get(reason === 'lease-lapsed' ? 'job/3' : 'job/2')).toEqual({ status: 'not-run', reason })
      expect(agent.violations).toEqual([])
    })

    test(`${reason}: a dispatch that comes after is refused, and stays refused`, () => {
      const agent = createAgentUnderTest()
      agent.grantLease()
      agent.receive(FIRST_ENTRY, dispatchMessage(createGroup('busy', [0, 1])))
      forbid(agent)
      const group = createGroup('job', [0], { startBefore: BEGIN + 1_500 })
      const late = reason === 'lease-lapsed' ? { ...group, startBefore: BEGIN + 60_000 } : group
      agent.receive(FIRST_ENTRY, dispatchMessage(late))
      agent.flush()
      expect(agent.outcomes.get('job/0')).toEqual({ status: 'not-run', reason })
      agent.grantLease()
      agent.receive(FIRST_ENTRY, dispatchMessage({ ...late, startBefore: BEGIN + 90_000 }))
      agent.succeed('busy', 0)
      agent.succeed('busy', 1)
      expect(agent.started.some(({ submission }) => submission === 'job')).toBe(false)
    })
  }

  test.each(['lease-lapsed', 'expired'] as const)('%s: without the rule the start happens and is found out', reason => {
    const agent = waitingTask(reason)
    CASES.find(one => one.reason === reason)?.forbid(agent)
    agent.succeed('job', 0)
    expect(agent.started).toHaveLength(3)
    expect(agent.violations.join()).toContain('start-allowed')
  })

  test.each(['stale-epoch', 'leaving'] as const)('%s: without the rule a late dispatch starts and is found out', reason => {
    const agent = createAgentUnderTest({ startRules: START_RULES.filter(rule => rule.reason !== reason) })
    agent.grantLease()
    CASES.find(one => one.reason === reason)?.forbid(agent)
    agent.receive(FIRST_ENTRY, dispatchMessage(createGroup('late', [0])))
    expect(agent.started.some(({ submission }) => submission === 'late')).toBe(true)
    expect(agent.violations.join()).toContain('start-allowed')
  })
})

describe('memory', () => {
  test('a task that is known is not started again in any of its states', () => {
    const agent = createAgentUnderTest({ slots: 1 })
    agent.grantLease()
    const group = createGroup('job', [0, 1])
    agent.receive(FIRST_ENTRY, dispatchMessage(group))
    agent.receive(FIRST_ENTRY, dispatchMessage(group))
    agent.succeed('job', 0)
    agent.succeed('job', 1)
    agent.receive(FIRST_ENTRY, dispatchMessage(group, group))
    expect(agent.started.map(({ index }) => index)).toEqual([0, 1])
  })

  test('a finished task that is dispatched again has its outcome told again, though it was acknowledged', () => {
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

  test('it is what prevents the second start: an agent that forgets at once starts again', () => {
    const forgetful = createAgentUnderTest({ keyWindowMilliseconds: 0, clockSkewMilliseconds: 0 })
    forgetful.grantLease()
    for (let copy = 0; copy < 2; copy += 1) {
      const startBefore = forgetful.now() + 1
      forgetful.receive(FIRST_ENTRY, dispatchMessage(createGroup('job', [0], { startBefore })))
      forgetful.succeed('job', 0)
      forgetful.grantLease()
    }
    expect(forgetful.started).toHaveLength(2)
  })

  test('tasks are remembered for the key window after their last event, and then forgotten', () => {
    const agent = createAgentUnderTest({ keyWindowMilliseconds: 10_000, clockSkewMilliseconds: 500 })
    agent.grantLease()
    agent.receive(FIRST_ENTRY, dispatchMessage(createGroup('job', [0, 1], { startBefore: BEGIN + 2_000 })))
    agent.succeed('job', 0)
    agent.pass(10_900)
    agent.tick()
    agent.succeed('job', 1)
    agent.pass(10_900)
    agent.tick()
    expect(agent.execution.snapshot().rememberedTasks).toBe(2)
    agent.pass(11_000)
    agent.tick()
    expect(agent.execution.snapshot().rememberedTasks).toBe(0)
  })
})

test('nothing is forgotten that a delayed copy of its dispatch could still start', () => {
  const agent = createAgentUnderTest({ keyWindowMilliseconds: 0, clockSkewMilliseconds: 0 })
  agent.grantLease()
  const call = createCall('call', { startBefore: BEGIN + 90_000 })
  agent.receive(FIRST_ENTRY, dispatchMessage(call))
  agent.succeed('call', 0)
  for (let round = 0; round < 180; round += 1) {
    agent.grantLease()
    agent.receive(FIRST_ENTRY, dispatchMessage(call))
  }
  expect(agent.started).toHaveLength(1)
})

describe('the lease by heartbeats', () => {
  test('lasts from the sending of the heartbeat, however late its answer comes', () => {
    const agent = createAgentUnderTest()
    agent.tick()
    const sequence = agent.seedAnnounces[0]?.sequence ?? 0
    agent.pass(2_900)
    agent.receive(FIRST_ENTRY, announcedMessage(sequence, [FIRST_ENTRY]))
    expect(agent.execution.snapshot().leaseUntil).toBe(BEGIN + 3_000)
    agent.pass(100)
    agent.receive(FIRST_ENTRY, dispatchMessage(createGroup('job', [0])))
    expect(agent.started).toEqual([])
  })

  test('an agent that wakes from a pause starts nothing before a new heartbeat is answered', () => {
    const agent = createAgentUnderTest({ slots: 1 })
    agent.grantLease()
    agent.receive(FIRST_ENTRY, dispatchMessage(createGroup('job', [0, 1])))
    agent.pass(10_000)
    agent.succeed('job', 0)
    agent.receive(FIRST_ENTRY, dispatchMessage(createGroup('next', [0])))
    expect(agent.started).toHaveLength(1)
    agent.grantLease()
    agent.receive(FIRST_ENTRY, dispatchMessage(createGroup('after', [0])))
    expect(agent.started).toHaveLength(2)
  })

  test('once departed, no later answer brings the lease back; running tasks are still reported', () => {
    const agent = createAgentUnderTest({ slots: 1 })
    agent.grantLease()
    agent.receive(FIRST_ENTRY, dispatchMessage(createGroup('job', [0, 1])))
    agent.receive(FIRST_ENTRY, announcedMessage(1, [FIRST_ENTRY], 'departed'))
    agent.receive(SECOND_ENTRY, announcedMessage(1, [FIRST_ENTRY], 'joined'))
    agent.succeed('job', 0)
    agent.receive(FIRST_ENTRY, dispatchMessage(createGroup('next', [0])))
    agent.flush()
    expect(agent.started).toHaveLength(1)
    expect(agent.outcomes.get('job/0')).toMatchObject({ status: 'succeeded' })
    expect(agent.outcomes.get('job/1')).toEqual({ status: 'not-run', reason: 'lease-lapsed' })
    expect(agent.execution.snapshot().state).toBe('departed')
  })
})

describe('takeover', () => {
  test('a new owner learns all tasks, keeps what waits, and gets the outcomes from then on', () => {
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

  test('a new owner learns of a cancellation whose tasks were never sent anywhere, and a former owner records none', () => {
    const agent = createAgentUnderTest()
    agent.grantLease()
    agent.receive(FIRST_ENTRY, recordMessage('job', [0, 1], 2, { partition: 7, epoch: 1 }))
    agent.receive(SECOND_ENTRY, collectMessage(7, 5))
    agent.receive(FIRST_ENTRY, recordMessage('other', [0], 1, { partition: 7, epoch: 1 }))
    agent.flush()
    const withdrawn = { state: 'finished', outcome: { status: 'not-run', reason: 'withdrawn' } }
    expect(agent.collected(SECOND_ENTRY).flatMap(({ submissions }) => submissions)).toMatchObject([
      { header: { submission: 'job' }, partition: 7, tasks: [{ index: 0, ...withdrawn }, { index: 1, ...withdrawn }] }
    ])
    expect(agent.outcomes.get('other/0')).toBeUndefined()
  })

  test('the former owner gets no word of what it lost, and a stale collect fences nothing', () => {
    const agent = createAgentUnderTest({ slots: 1 })
    agent.grantLease()
    agent.receive(FIRST_ENTRY, dispatchMessage(createGroup('job', [0, 1])))
    agent.receive(SECOND_ENTRY, collectMessage(7, 5))
    agent.receive(FIRST_ENTRY, collectMessage(7, 1))
    agent.receive(FIRST_ENTRY, dispatchMessage(createGroup('job', [0, 1, 2])))
    agent.flush()
    expect(agent.collected(FIRST_ENTRY)).toEqual([])
    const told = agent.reports(FIRST_ENTRY).flatMap(report => report.submissions.flatMap(one => one.tasks))
    expect(told).toEqual([{ index: 2, outcome: { status: 'not-run', reason: 'stale-epoch' }, runMilliseconds: 0 }])
    agent.receive(SECOND_ENTRY, dispatchMessage(createGroup('job', [2], { ownership: { partition: 7, epoch: 5 } })))
    agent.succeed('job', 0)
    agent.succeed('job', 1)
    expect(agent.started.map(({ index }) => index)).toEqual([0, 1, 2])
  })

  test('parts of a collect and of its repetition fit together', () => {
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

  test('a collect of a partition without tasks is answered too', () => {
    const agent = createAgentUnderTest()
    agent.receive(SECOND_ENTRY, collectMessage(9, 5))
    expect(agent.collected(SECOND_ENTRY)).toEqual([
      { partitions: [{ partition: 9, epoch: 5 }], part: 0, parts: 1, submissions: [] }
    ])
  })
})
