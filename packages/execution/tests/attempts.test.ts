import { describe, expect, test } from 'vitest'
import {
  createAgentUnderTest, createGroup, dispatchMessage, FIRST_ENTRY, withdrawMessage, type AgentUnderTest
} from './agent-under-test.js'

const LEASE_MILLISECONDS = 3_000

function dispatchAttempt (agent: AgentUnderTest, attempt: number): void {
  const group = createGroup('job', [0], {
    tasks: [{ index: 0, input: {}, attempt }], startBefore: agent.now() + 60_000
  })
  agent.receive(FIRST_ENTRY, dispatchMessage(group))
  agent.flush()
}

/** An agent that refused the first attempt because its lease had lapsed, and has a lease again. */
function createRefusing (): AgentUnderTest {
  const agent = createAgentUnderTest()
  agent.grantLease()
  agent.pass(LEASE_MILLISECONDS)
  dispatchAttempt(agent, 1)
  return agent
}

describe('attempts of a task', () => {
  test('a refusal names the attempt that it answers', () => {
    const agent = createRefusing()
    const [report] = agent.reports()
    expect(report?.submissions[0]?.tasks).toEqual([
      { index: 0, attempt: 1, runMilliseconds: 0, outcome: { status: 'not-run', reason: 'lease-lapsed' } }
    ])
  })

  test('a delayed copy of a refused dispatch stays refused, a later attempt runs', () => {
    const agent = createRefusing()
    agent.grantLease()
    dispatchAttempt(agent, 1)
    expect(agent.started).toHaveLength(0)
    dispatchAttempt(agent, 2)
    expect(agent.started).toHaveLength(1)
    dispatchAttempt(agent, 1)
    dispatchAttempt(agent, 3)
    expect(agent.started).toHaveLength(1)
  })

  test('the refusal is reported no more once a later attempt came', () => {
    const agent = createRefusing()
    agent.grantLease()
    dispatchAttempt(agent, 2)
    agent.reports()
    agent.succeed('job', 0)
    agent.flush()
    for (let round = 0; round < 20; round += 1) {
      agent.pass(500)
      agent.tick()
    }
    const tasks = agent.reports().flatMap(report => report.submissions).flatMap(({ tasks }) => tasks)
    expect(tasks.length).toBeGreaterThan(1)
    expect(new Set(tasks.map(({ outcome }) => outcome.status))).toEqual(new Set(['succeeded']))
    expect(agent.execution.snapshot().unacknowledgedOutcomes).toBe(1)
    expect(agent.execution.snapshot().rememberedTasks).toBe(1)
  })

  test('what was withdrawn stays withdrawn', () => {
    const agent = createAgentUnderTest()
    agent.grantLease()
    agent.receive(FIRST_ENTRY, withdrawMessage('job', [0]))
    dispatchAttempt(agent, 9)
    expect(agent.started).toHaveLength(0)
  })

  test('what was refused and then withdrawn does not start by a later attempt that was on the way', () => {
    const agent = createRefusing()
    agent.grantLease()
    agent.receive(FIRST_ENTRY, withdrawMessage('job', [0]))
    dispatchAttempt(agent, 2)
    expect(agent.started).toHaveLength(0)
    const tasks = agent.reports().flatMap(report => report.submissions).flatMap(({ tasks }) => tasks)
    expect(tasks.at(-1)).toEqual({ index: 0, runMilliseconds: 0, outcome: { status: 'not-run', reason: 'withdrawn' } })
  })

  test('what was withdrawn while it ran, and proved not to have run, does not start by a later attempt', () => {
    const agent = createAgentUnderTest()
    agent.grantLease()
    dispatchAttempt(agent, 1)
    agent.receive(FIRST_ENTRY, withdrawMessage('job', [0]))
    agent.execution.handleResult('job', 0, { kind: 'unreached' }, agent.now())
    agent.execution.handleUpstreamReachable(agent.now())
    dispatchAttempt(agent, 2)
    expect(agent.started).toHaveLength(1)
    expect(agent.outcomes.get('job/0')).toEqual({ status: 'not-run', reason: 'withdrawn' })
  })
})
