import { expect, test } from 'vitest'
import { createAgentIdentity } from '@baobabpost/common'
import { selectAgentConfiguration } from '../src/agent-configuration.js'

test('an agent is told the policies and its own drain, but no drain of another agent', () => {
  const identity = createAgentIdentity('agent-1')
  const registers = {
    policy: [{ register: 'policy/default', version: 12, value: null }],
    drain: ['agent-1', 'agent-10'].map(name => ({ register: `drain/${name}`, version: 14, value: { name, reason: '' } }))
  }
  const projection = {
    changesSince: (since: number, _limit: number, kind?: string) =>
      ({ registers: registers[kind as 'policy' | 'drain'].filter(({ version }) => version > since), position: 20 })
  }
  const names = (configurationPosition: number): string[] =>
    selectAgentConfiguration(projection, { identity, configurationPosition }).registers.map(({ register }) => register)
  expect(names(10)).toEqual(['policy/default', 'drain/agent-1'])
  expect(names(14)).toEqual([])
})
