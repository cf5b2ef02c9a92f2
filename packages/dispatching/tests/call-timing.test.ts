import { describe, expect, it } from 'vitest'
import { createCallTiming } from '@baobabpost/dispatching'

describe('the timeout of calls', () => {
  it('is short while answers come at once, also if some agents are dead', () => {
    const timing = createCallTiming()
    for (let call = 0; call < 200; call += 1) timing.record(call % 10 === 0 ? 150 : 2)
    expect(timing.timeout()).toBe(150)
  })

  // A large record filled an entry's link for 1.4 s: all calls were given up after 150 ms although their answers were
  // on their way, and their connections and repeats kept the link full for ten seconds more.
  it('rises when every answer is late, and falls again', () => {
    const timing = createCallTiming()
    for (let call = 0; call < 20; call += 1) timing.record(150)
    expect(timing.timeout()).toBe(400)
    for (let call = 0; call < 40; call += 1) timing.record(2)
    expect(timing.timeout()).toBe(150)
  })
})
