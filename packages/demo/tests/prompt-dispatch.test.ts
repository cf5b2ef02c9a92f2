import { setImmediate as nextLoopTurn } from 'node:timers/promises'
import { afterAll, beforeAll, describe, expect, test } from 'vitest'
import { callerSecret, send, type Fleet } from '@baobabpost/demo'
import type { EntryCore } from '@baobabpost/entry'
import { createSubmissionKey, createTasks, startSmallFleet, submit } from './small-fleet.js'

const REPETITIONS = 20

let fleet: Fleet
let flushObserver: FlushObserver

beforeAll(async () => {
  fleet = await startSmallFleet()
  flushObserver = observeFlushes(fleet.entries[0]!.core)
})
afterAll(async () => { await fleet.stop() })

/** The observed methods of an entry core, as writable properties. */
type WritableCore = { -readonly [Name in 'beginOperation' | 'beginCall' | 'flush']: EntryCore[Name] }

interface FlushObserver {
  /** For each operation or call begun: whether decisions were flushed within two turns of the event loop. */
  readonly flushResults: Array<Promise<boolean>>
}

function observeFlushes (entryCore: EntryCore): FlushObserver {
  const core: WritableCore = entryCore
  const { beginOperation, beginCall, flush } = core
  const flushResults: Array<Promise<boolean>> = []
  let flushCount = 0
  const wasFlushed = async (flushCountBefore: number): Promise<boolean> => {
    await nextLoopTurn()
    await nextLoopTurn()
    return flushCount > flushCountBefore
  }
  core.flush = now => {
    flushCount += 1
    return flush(now)
  }
  core.beginOperation = (request, now) => {
    const id = beginOperation(request, now)
    flushResults.push(wasFlushed(flushCount))
    return id
  }
  core.beginCall = (call, now) => {
    const id = beginCall(call, now)
    flushResults.push(wasFlushed(flushCount))
    return id
  }
  return { flushResults }
}

async function takeFlushResults (): Promise<boolean[]> {
  return await Promise.all(flushObserver.flushResults.splice(0))
}

describe('dispatches at once, without waiting for the next tick', () => {
  test('a submission', async () => {
    for (let repetition = 0; repetition < REPETITIONS; repetition += 1) {
      await submit(fleet.entries[0]!, createSubmissionKey(), createTasks(1, 1))
    }
    expect(await takeFlushResults()).toEqual(Array.from({ length: REPETITIONS }, () => true))
  })

  test('a call', async () => {
    const body = { template: 'reserve-tool', customer: 'medina', input: { tool: 'drill-7', member: 'awa' } }
    const { url } = fleet.entries[0]!
    for (let repetition = 0; repetition < REPETITIONS; repetition += 1) {
      await send({ method: 'POST', url, path: '/v1/calls', secret: callerSecret('medina'), body })
    }
    expect(await takeFlushResults()).toEqual(Array.from({ length: REPETITIONS }, () => true))
  })
})
