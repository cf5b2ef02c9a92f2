import { expect, it } from 'vitest'
import { findMismatch, type Mismatch, type Requirements } from '@baobabpost/fleet-calls'

const UPSTREAM = {
  service: 'desk', labels: ['a', 'r1-3'], capacity: { processor: 16_000, memory: 32_768, accelerators: 1 }
}
const REQUIREMENTS: Requirements = {
  service: 'desk', label: 'a', size: { processor: 16_000, memory: 32_768, accelerators: 1 }
}

it.each<[string, Partial<Requirements>, Mismatch | undefined]>([
  ['all that it requires', {}, undefined],
  ['the rack as label', { label: 'r1-3' }, undefined],
  ['neither service nor label stated', { service: undefined, label: undefined }, undefined],
  ['another service', { service: 'portal' }, 'service'],
  ['a label that the upstream lacks', { label: 'b' }, 'label'],
  ['a part of a label', { label: 'r1' }, 'label'],
  ['more processor', { size: { processor: 16_001, memory: 1, accelerators: 0 } }, 'capacity'],
  ['more memory', { size: { processor: 1, memory: 32_769, accelerators: 0 } }, 'capacity'],
  ['more accelerators', { size: { processor: 1, memory: 1, accelerators: 2 } }, 'capacity']
])('finds what an upstream lacks for a task: %s', (_case, requirements, mismatch) => {
  expect(findMismatch(UPSTREAM, { ...REQUIREMENTS, ...requirements })).toBe(mismatch)
})
