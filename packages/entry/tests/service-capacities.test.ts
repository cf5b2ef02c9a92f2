import { expect, test } from 'vitest'
import { createAgentIdentity } from '@baobabpost/common'
import type { AgentView } from '@baobabpost/membership'
import { createServiceCapacities } from '../src/service-capacities.js'

function agent (service: string, slots: number, window: number): AgentView {
  return {
    identity: createAgentIdentity('agent'),
    address: '127.0.0.1:1',
    service,
    failureDomain: 'dakar-1',
    slots,
    connections: 60,
    window,
    configurationPosition: 0,
    registeredVersion: 1
  }
}

test('the capacity of a service is the sum of its agents\' usable slots, as agents are added, changed and removed', () => {
  const capacities = new Map<string, number>()
  const serviceCapacities = createServiceCapacities({
    setCapacity: ({ service, slots }) => { capacities.set(service, slots) }
  })
  const first = agent('lending', 8, 10)
  const second = agent('lending', 8, 3)
  serviceCapacities.set(first)
  serviceCapacities.set(second)
  serviceCapacities.set(agent('ledger', 4, 4))
  expect(capacities).toEqual(new Map([['lending', 11], ['ledger', 4]]))
  serviceCapacities.set({ ...second, window: 8 })
  expect(capacities.get('lending')).toBe(16)
  serviceCapacities.remove(first.identity)
  serviceCapacities.remove(first.identity)
  expect(capacities.get('lending')).toBe(8)
})
