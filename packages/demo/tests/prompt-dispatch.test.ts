import { setImmediate as nextTurn } from 'node:timers/promises'
import { afterAll, beforeAll, describe, expect, test } from 'vitest'
import { callerSecret, send, type Fleet } from '@baobabpost/demo'
import type { EntryCore } from '@baobabpost/entry'
import { createSubmissionKey, createTasks, startSmallFleet, submit } from './small-fleet.js'

const REPETITIONS = 20

let fleet: Fleet
let watch: FlushWatch

beforeAll(async () => {
  fleet = await startSmallFleet()
  watch = watchFlushes(fleet.entries[0]!.core)
})
afterAll(async () => { await fleet.stop() })

/** The methods of an entry's decisions that are watched. */
type WatchedCore = { -readonly [Name in 'beginOperation' | 'beginCall' | 'flush']: EntryCore[Name] }

/** Tells of each begin whether decisions were flushed within two turns of the loop after it. */
interface FlushWatch {
  readonly verdicts: Array<Promise<boolean>>
}

function watchFlushes (watched: EntryCore): FlushWatch {
  const core: WatchedCore = watched
  const { beginOperation, beginCall, flush } = core
  const verdicts: Array<Promise<boolean>> = []
  let flushes = 0
  const judge = async (before: number): Promise<boolean> => {
    await nextTurn()
    await nextTurn()
    return flushes > before
  }
  core.flush = now => {
    flushes += 1
    return flush(now)
  }
  core.beginOperation = (request, now) => {
    const id = beginOperation(request, now)
    verdicts.push(judge(flushes))
    return id
  }
  core.beginCall = (call, now) => {
    const id = beginCall(call, now)
    verdicts.push(judge(flushes))
    return id
  }
  return { verdicts }
}

async function takeVerdicts (): Promise<boolean[]> {
  return await Promise.all(watch.verdicts.splice(0))
}

describe('what a caller begins is dispatched at once and does not wait for the next tick', () => {
  test('a submission', async () => {
    for (let repetition = 0; repetition < REPETITIONS; repetition += 1) {
      await submit(fleet.entries[0]!, createSubmissionKey(), createTasks(1, 1))
    }
    expect(await takeVerdicts()).toEqual(Array.from({ length: REPETITIONS }, () => true))
  })

  test('a call', async () => {
    const body = { template: 'reserve-tool', customer: 'medina', input: { tool: 'drill-7', member: 'awa' } }
    const { url } = fleet.entries[0]!
    for (let repetition = 0; repetition < REPETITIONS; repetition += 1) {
      await send({ method: 'POST', url, path: '/v1/calls', secret: callerSecret('medina'), body })
    }
    expect(await takeVerdicts()).toEqual(Array.from({ length: REPETITIONS }, () => true))
  })
})
