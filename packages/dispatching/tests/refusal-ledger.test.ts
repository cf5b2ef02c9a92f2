import { describe, expect, it } from 'vitest'
import { createRefusalLedger, type RefusedJob } from '@baobabpost/dispatching'

function refused (id: string, fields: Partial<RefusedJob> = {}): RefusedJob {
  return { id, service: 'desk', place: 0, excessWaitMilliseconds: 0, startMilliseconds: 100, ...fields }
}

describe('the Retry-After of refused jobs', () => {
  // With one fixed Retry-After, all callers refused in a burst came back together and were refused again.
  it('spaces returning callers by the rate at which capacity is released', () => {
    const refusals = createRefusalLedger()
    const answers = Array.from({ length: 30 }, (_, index) => refusals.refuse(refused(`job-${index}`), 0))
    for (const second of [1, 2, 3]) expect(answers.filter(answer => answer === 1_000 * second)).toHaveLength(10)
  })

  it('follows the queue, and forgets promises whose time has passed', () => {
    const refusals = createRefusalLedger()
    expect(refusals.refuse(refused('a', { excessWaitMilliseconds: 2_500 }), 0)).toBe(3_000)
    expect(refusals.refuse(refused('b'), 10_000)).toBe(1_000)
    expect(refusals.promisedCount()).toBe(1)
  })

  it('is bounded, and separate for each service', () => {
    const refusals = createRefusalLedger()
    for (let index = 0; index < 500; index += 1) refusals.refuse(refused(`job-${index}`), 0)
    expect(refusals.refuse(refused('last'), 0)).toBe(10_000)
    expect(refusals.refuse(refused('other', { service: 'archive' }), 0)).toBe(1_000)
  })
})

describe('a caller that was refused', () => {
  it.each([
    ['as told', 1_000, 7], ['a little early', 950, 7], ['a little late', 1_900, 7],
    ['far too early', 100, undefined], ['far too late', 2_500, undefined]
  ])('that returns %s', (_, at, place) => {
    const refusals = createRefusalLedger()
    refusals.refuse(refused('a', { place: 7 }), 0)
    expect(refusals.takePlace('a', at)).toBe(place)
    expect(refusals.takePlace('a', at)).toBeUndefined()
  })
})
