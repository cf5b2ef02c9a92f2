import { describe, expect, it } from 'vitest'
import { createOverloadSignal } from '@baobabpost/dispatching'

/** Refuses a job every 20 ms from one time to another. */
function refuse (signal: ReturnType<typeof createOverloadSignal>, from: number, to: number): void {
  for (let now = from; now <= to; now += 20) signal.recordRefusal(now)
}

describe('the signal of an overloaded entry', () => {
  // An entry that refused the callers of its failure domain stayed ready, and got their next connections too.
  it('is raised while jobs are refused for longer than a second, and ends three seconds after the last', () => {
    const signal = createOverloadSignal()
    refuse(signal, 0, 980)
    expect(signal.isRaised(980)).toBe(false)
    refuse(signal, 1_000, 4_000)
    expect(signal.isRaised(1_000)).toBe(true)
    expect(signal.isRaised(6_980)).toBe(true)
    expect(signal.isRaised(7_000)).toBe(false)
  })

  it('is not raised by short bursts', () => {
    const signal = createOverloadSignal()
    for (let start = 0; start < 20_000; start += 1_600) {
      refuse(signal, start, start + 900)
      expect(signal.isRaised(start + 900)).toBe(false)
    }
  })
})
