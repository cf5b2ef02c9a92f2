import { beforeEach, describe, expect, test } from 'vitest'
import type { RegisterValue } from '@baobabpost/messages'
import {
  announcedMessage, createAgentUnderTest, createGroup, dispatchMessage, FIRST_ENTRY, SECOND_ENTRY, type AgentUnderTest
} from './agent-under-test.js'

const DRAIN: RegisterValue = { register: 'drain/agent-1', version: 40, value: { name: 'agent-1', reason: 'repair' } }

let agent: AgentUnderTest

/** Answers the agent's last heartbeat with registers, as an entry. */
function answer (registers: readonly RegisterValue[], entry = FIRST_ENTRY): void {
  agent.grantLease()
  const message = announcedMessage(1, [entry])
  if (message.method !== 'announced') return
  agent.receive(entry, { ...message, parameters: { ...message.parameters, registers, configurationPosition: 40 } })
}

beforeEach(() => {
  agent = createAgentUnderTest()
  agent.grantLease()
})

describe('an agent that an operator has drained', () => {
  // Only entries knew of the drain: a dispatch that was lost and repeated started its tasks at the drained agent.
  test('refuses a dispatch that was sent before the drain', () => {
    answer([DRAIN])
    agent.receive(FIRST_ENTRY, dispatchMessage(createGroup('job', [0])))
    agent.flush()
    expect(agent.startedTasks).toEqual([])
    expect(agent.outcomes.get('job/0')).toEqual({ status: 'not-run', reason: 'leaving' })
  })

  test('gives its queued tasks back, and completes the running ones', () => {
    agent.receive(FIRST_ENTRY, dispatchMessage(createGroup('job', [0, 1, 2])))
    answer([DRAIN])
    agent.succeed('job', 0)
    agent.flush()
    expect(agent.startedTasks).toHaveLength(2)
    expect(agent.outcomes.get('job/0')).toMatchObject({ status: 'succeeded' })
    expect(agent.outcomes.get('job/2')).toEqual({ status: 'not-run', reason: 'leaving' })
    expect(agent.violations).toEqual([])
  })

  test('gives entries no window', () => {
    answer([DRAIN])
    agent.grantLease()
    expect([...agent.execution.snapshot().windows.values()]).toEqual([0])
  })

  test('starts tasks again after a newer record ends the drain, and ignores an older one', () => {
    answer([DRAIN])
    answer([{ ...DRAIN, version: 39, value: null }], SECOND_ENTRY)
    agent.receive(FIRST_ENTRY, dispatchMessage(createGroup('job', [0])))
    expect(agent.startedTasks).toEqual([])
    answer([{ ...DRAIN, version: 41, value: null }], SECOND_ENTRY)
    agent.receive(FIRST_ENTRY, dispatchMessage(createGroup('next', [0])))
    expect(agent.startedTasks).toHaveLength(1)
  })

  test('is not affected by the drain of another agent', () => {
    answer([{ ...DRAIN, register: 'drain/agent-10' }])
    agent.receive(FIRST_ENTRY, dispatchMessage(createGroup('job', [0])))
    expect(agent.startedTasks).toHaveLength(1)
  })
})
