import { createRandom, PARTITION_COUNT } from '@baobabpost/common'
import { describe, expect, it } from 'vitest'
import { createSubmissionCaller } from '../src/callers.js'
import type { EntryNode } from '../src/simulated-nodes.js'
import { createSimulatedFleet, type SimulatedFleet } from '../src/simulated-fleet.js'

const AGENT_COUNT = 12
const MAXIMUM_TAKEOVER_MILLISECONDS = 5_000
const SETTLE_MILLISECONDS = 5_000

function createFleet (seed: number): SimulatedFleet {
  const fleet = createSimulatedFleet({
    random: createRandom(seed),
    settings: { keyWindowMilliseconds: 600_000, clockSkewMilliseconds: 2_000 },
    entryCount: 3,
    agentCount: AGENT_COUNT,
    runMilliseconds: () => 500
  })
  const endsAt = fleet.now() + SETTLE_MILLISECONDS
  while (fleet.now() < endsAt) fleet.advance()
  return fleet
}

function servingCount (entries: readonly EntryNode[]): number {
  let count = 0
  for (const { core } of entries) {
    for (let partition = 0; partition < PARTITION_COUNT; partition += 1) {
      const state = core.components.ownership.partitionState(partition)
      if (state.kind === 'ours' && state.phase === 'serving' && state.unaccounted === 0) count += 1
    }
  }
  return count
}

describe('takeover of a dead entry with a dozen agents', () => {
  it.each([1, 2, 3])('every partition is served again within 5 s, seed %i', seed => {
    const fleet = createFleet(seed)
    expect(servingCount(fleet.entries())).toBe(PARTITION_COUNT)
    const callers = Array.from({ length: 20 }, () => createSubmissionCaller(fleet, {
      taskCount: 50, requestWaitMilliseconds: 20_000, maximumWaitMilliseconds: 30_000
    }))
    for (let timeStep = 0; timeStep < 10; timeStep += 1) fleet.advance()
    const diedAt = fleet.now()
    fleet.kill(fleet.entries()[0]!)
    while (
      servingCount(fleet.entries()) < PARTITION_COUNT && fleet.now() < diedAt + 2 * MAXIMUM_TAKEOVER_MILLISECONDS
    ) {
      fleet.advance()
      for (const caller of callers) caller.tick()
    }
    process.stdout.write(`takeover, seed ${seed}: ${fleet.now() - diedAt} ms\n`)
    expect(fleet.now() - diedAt).toBeLessThanOrEqual(MAXIMUM_TAKEOVER_MILLISECONDS)
    const endsAt = fleet.now() + 20_000
    while (fleet.now() < endsAt) {
      fleet.advance()
      for (const caller of callers) caller.tick()
    }
    expect(callers.map(caller => caller.finalState())).toEqual(callers.map(() => 'complete'))
    expect(fleet.runLog.violations()).toEqual([])
  })
})
