import { describe, expect, it } from 'vitest'
import { createUrgentReserve } from '@baobabpost/execution'

const NOW = 1_000_000

describe('reserve for urgent tasks', () => {
  it('is zero without urgent tasks, so that jobs use every slot', () => {
    expect(createUrgentReserve({ slots: 8, slotsPerUrgentTask: () => 1 }).reservedSlots(NOW)).toBe(0)
  })

  it('follows the average number of running urgent tasks, and returns to zero after they end', () => {
    const reserve = createUrgentReserve({ slots: 8, slotsPerUrgentTask: () => 1.5 })
    reserve.recordStart(NOW)
    reserve.recordStart(NOW)
    expect(reserve.reservedSlots(NOW + 100)).toBe(0)
    // 1.5 slots for each of 2 tasks, reduced by a quarter because they occupy 2 of 8 slots.
    expect(reserve.reservedSlots(NOW + 20_000)).toBe(2)
    reserve.recordCompletion(NOW + 20_000)
    reserve.recordCompletion(NOW + 20_000)
    expect(reserve.reservedSlots(NOW + 40_000)).toBe(0)
  })

  it('never exceeds half of the slots', () => {
    const reserve = createUrgentReserve({ slots: 8, slotsPerUrgentTask: () => 8 })
    for (let count = 0; count < 4; count += 1) reserve.recordStart(NOW)
    expect(reserve.reservedSlots(NOW + 60_000)).toBe(4)
  })

  it('is zero when urgent tasks fill all slots', () => {
    const reserve = createUrgentReserve({ slots: 8, slotsPerUrgentTask: () => 1 })
    for (let count = 0; count < 8; count += 1) reserve.recordStart(NOW)
    expect(reserve.reservedSlots(NOW + 60_000)).toBe(0)
  })

  it('is disabled by zero slots per urgent task', () => {
    const reserve = createUrgentReserve({ slots: 8, slotsPerUrgentTask: () => 0 })
    for (let count = 0; count < 8; count += 1) reserve.recordStart(NOW)
    expect(reserve.reservedSlots(NOW + 60_000)).toBe(0)
  })
})
