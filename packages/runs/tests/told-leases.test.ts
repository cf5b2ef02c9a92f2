import { expect, it } from 'vitest'
import { ENTRY_LEASE_MILLISECONDS, RUN_LEASE_BOUND_MILLISECONDS } from '@baobabpost/fleet-calls'
import { createRegistryUnderTest, heartbeat } from './registry-under-test.js'

it('tells entries the leases that it keeps, so that entries of another build do not assume their own', () => {
  const { registry, watch, advance } = createRegistryUnderTest()
  registry.handleHeartbeat(heartbeat(), advance(0))
  expect(watch().profile?.leases).toEqual({
    entryMilliseconds: ENTRY_LEASE_MILLISECONDS, runMilliseconds: RUN_LEASE_BOUND_MILLISECONDS
  })
})
