import { expect, test } from 'vitest'
import type { AgentIdentity } from '@baobabpost/common'
import { selectDrained } from '../src/drains.js'

const FORMER = 'agent-3@01900000-0000-7000-8000-000000000000' as AgentIdentity
const CURRENT = 'agent-3@01900000-0001-7000-8000-000000000000' as AgentIdentity
const OTHER = 'agent-30@01900000-0002-7000-8000-000000000000' as AgentIdentity

// The answer to a drain named the former incarnation, and left out the tasks at the one that runs.
test.each(['agent-3', FORMER, CURRENT])('a drain of %s concerns both incarnations, the current one first', requested => {
  expect(selectDrained([FORMER, OTHER, CURRENT], requested)).toEqual([CURRENT, FORMER])
})

test('a drain of an unknown agent concerns none', () => {
  expect(selectDrained([FORMER, OTHER], 'agent')).toEqual([])
})
