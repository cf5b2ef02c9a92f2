import { expect, test } from 'vitest'
import { createAgentIdentity } from '@baobabpost/common'
import type { Announce, Announced } from '@baobabpost/messages'
import { createAnnounceAnswers } from '../src/announce-answers.js'

// A drain of another agent that is taken for its own would leave the agent without work.
test('an agent is told the policies and its own drain, but no drain of another agent', () => {
  const drains = ['agent-1', 'agent-10'].map(name => ({ register: `drain/${name}`, version: 14, value: { name, reason: '' } }))
  const told: Announced[] = []
  const answers = createAnnounceAnswers({
    projection: {
      read: register => drains.find(drain => drain.register === register),
      changesSince: () => ({ registers: [{ register: 'policy/default', version: 12, value: null }], position: 20 })
    },
    outbox: { send: (_to, message) => { told.push(message.parameters as Announced) } },
    standingOf: () => 'joined',
    entryAddresses: () => []
  })
  answers.answer({
    identity: createAgentIdentity('agent-1'), failureDomain: 'a', sequence: 1, configurationPosition: 10
  } as unknown as Announce)
  expect(told[0]?.registers.map(({ register }) => register)).toEqual(['drain/agent-1', 'policy/default'])
})
