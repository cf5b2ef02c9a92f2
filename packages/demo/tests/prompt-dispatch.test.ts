import { setImmediate as nextTurn } from 'node:timers/promises'
import { afterAll, beforeAll, describe, expect, test } from 'vitest'
import { callerSecret, send, type Fleet } from '@baobabpost/demo'
import type { EntryCore } from '@baobabpost/entry'
import { createSubmissionKey, createTasks, startSmallFleet, submit } from './small-fleet.js'

const REPETITIONS = 20

let fleet: Fleet

beforeAll(async () => { fleet = await startSmallFleet() })
afterAll(async () => { await fleet.stop() })

/** The decisions of an entry with methods that a test may watch. */
type WatchedCore = { -readonly [Name in 'beginOperation' | 'beginCall' | 'flush']: EntryCore[Name] }

/** Runs an action and tells whether decisions were flushed within two turns of the loop after it reached them. */
async function isFlushedPromptly (name: 'beginOperation' | 'beginCall', act: () => Promise<unknown>): Promise<boolean> {
  const core = fleet.entries[0]!.core as WatchedCore
  const { flush } = core
  const original = core[name] as (...given: never[]) => never
  let flushes = 0
  let begun: Promise<boolean> | undefined
  core.flush = now => {
    flushes += 1
    return flush(now)
  }
  const watch = async (before: number): Promise<boolean> => {
    await nextTurn()
    await nextTurn()
    return flushes > before
  }
  core[name] = (...given: never[]): never => {
    const result = original(...given)
    begun = watch(flushes)
    return result
  }
  try {
    await act()
    return await begun ?? false
  } finally {
    core.flush = flush
    Object.assign(core, { [name]: original })
  }
}

describe('what a caller begins is dispatched at once and does not wait for the next tick', () => {
  test('a submission', async () => {
    for (let repetition = 0; repetition < REPETITIONS; repetition += 1) {
      const act = (): Promise<unknown> => submit(fleet.entries[0]!, createSubmissionKey(), createTasks(1, 1))
      expect(await isFlushedPromptly('beginOperation', act)).toBe(true)
    }
  })

  test('a call', async () => {
    const body = { template: 'reserve-tool', customer: 'medina', input: { tool: 'drill-7', member: 'awa' } }
    for (let repetition = 0; repetition < REPETITIONS; repetition += 1) {
      const { url } = fleet.entries[0]!
      const act = (): Promise<unknown> =>
        send({ method: 'POST', url, path: '/v1/calls', secret: callerSecret('medina'), body })
      expect(await isFlushedPromptly('beginCall', act)).toBe(true)
    }
  })
})
