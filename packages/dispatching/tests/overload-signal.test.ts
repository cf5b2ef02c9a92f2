import { describe, expect, it } from 'vitest'
import { createOverloadSignal } from '@baobabpost/dispatching'

/** Refuses a job every 20 ms from one time to another. */
function refuse (signal: ReturnType<typeof createOverloadSignal>, from: number, to: number): void {
  for (let now = from; now <= to; now += 20) signal.record(true, now)
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

  // Each refusal counted: a busy entry that served almost all of its callers went out of rotation for seconds.
  it('is not raised by an entry that refuses one job in twenty, and ends when it does', () => {
    const signal = createOverloadSignal()
    const refuseFew = (from: number, to: number): void => {
      for (let now = from; now < to; now += 5) {
        signal.record(now % 100 === 0, now)
        if (now > from + 3_250) expect(signal.isRaised(now)).toBe(false)
      }
    }
    refuseFew(0, 10_000)
    refuse(signal, 10_000, 13_000)
    expect(signal.isRaised(13_000)).toBe(true)
    refuseFew(13_005, 20_000)
  })
})
