import { expect, it } from 'vitest'
import { createReadDelay } from '@baobabpost/dispatching'

it('counts the time since the last read in which the process was busy, as input that waited was counted as fresh', () => {
  const readDelay = createReadDelay({ now: 0, idle: 0 })
  expect(readDelay.longest({ now: 400, idle: 0 })).toBe(400)
  readDelay.markRead({ now: 450, idle: 0 })
  expect(readDelay.longest({ now: 700, idle: 200 })).toBe(50)
  // The event loop waited all the time, so input is read as it arrives.
  readDelay.markRead({ now: 700, idle: 200 })
  expect(readDelay.longest({ now: 900, idle: 400 })).toBe(0)
})
