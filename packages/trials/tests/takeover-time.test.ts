import { createRandom, PARTITION_COUNT } from '@baobabpost/common'
import { describe, expect, it } from 'vitest'
import { createSubmissionCaller } from '../src/callers.js'
import type { EntryNode } from '../src/simulated-nodes.js'
import { createSimulatedFleet, type SimulatedFleet } from '../src/simulated-fleet.js'

const AGENTS = 12
const BOUND_MILLISECONDS = 5_000
const SETTLE_MILLISECONDS = 5_000

function createFleet (seed: number): SimulatedFleet {
  const world = createSimulatedFleet({
    random: createRandom(seed),
    settings: { keyWindowMilliseconds: 600_000, clockSkewMilliseconds: 2_000 },
    entryCount: 3,
    agentCount: AGENTS,
    runMilliseconds: () => 500
  })
  const end = world.now() + SETTLE_MILLISECONDS
  while (world.now() < end) world.advance()
  return world
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
    const world = createFleet(seed)
    expect(servingCount(world.entries())).toBe(PARTITION_COUNT)
    const callers = Array.from({ length: 20 }, () => createSubmissionCaller(world, {
      taskCount: 50, waitMilliseconds: 20_000, patienceMilliseconds: 30_000
    }))
    for (let quantum = 0; quantum < 10; quantum += 1) world.advance()
    const diedAt = world.now()
    world.kill(world.entries()[0]!)
    while (servingCount(world.entries()) < PARTITION_COUNT && world.now() < diedAt + 2 * BOUND_MILLISECONDS) {
      world.advance()
      for (const caller of callers) caller.tick()
    }
    process.stdout.write(`takeover, seed ${seed}: ${world.now() - diedAt} ms\n`)
    expect(world.now() - diedAt).toBeLessThanOrEqual(BOUND_MILLISECONDS)
    const end = world.now() + 20_000
    while (world.now() < end) {
      world.advance()
      for (const caller of callers) caller.tick()
    }
    expect(callers.map(caller => caller.end())).toEqual(callers.map(() => 'complete'))
    expect(world.ledger.violations()).toEqual([])
  })
})
