import { describe, expect, it } from 'vitest'
import { createUrgentReserve } from '@baobabpost/execution'

const NOW = 1_000_000

describe('the reserve for urgent tasks', () => {
  it('is zero without urgent tasks, so that jobs use every slot', () => {
    expect(createUrgentReserve({ slots: 8, slotsPerUrgentTask: () => 1 }).reservedSlots(NOW)).toBe(0)
  })

  it('follows the number of urgent tasks that run on average, and goes again after them', () => {
    const reserve = createUrgentReserve({ slots: 8, slotsPerUrgentTask: () => 1.5 })
    reserve.recordStart(NOW)
    reserve.recordStart(NOW)
    expect(reserve.reservedSlots(NOW + 100)).toBe(0)
    // 1.5 for each of 2, less the quarter of the slots that they take.
    expect(reserve.reservedSlots(NOW + 20_000)).toBe(2)
    reserve.recordCompletion(NOW + 20_000)
    reserve.recordCompletion(NOW + 20_000)
    expect(reserve.reservedSlots(NOW + 40_000)).toBe(0)
  })

  it('never takes more than half of the slots from jobs', () => {
    const reserve = createUrgentReserve({ slots: 8, slotsPerUrgentTask: () => 8 })
    for (let count = 0; count < 4; count += 1) reserve.recordStart(NOW)
    expect(reserve.reservedSlots(NOW + 60_000)).toBe(4)
  })

  it('keeps no slot idle when urgent tasks fill them all', () => {
    const reserve = createUrgentReserve({ slots: 8, slotsPerUrgentTask: () => 1 })
    for (let count = 0; count < 8; count += 1) reserve.recordStart(NOW)
    expect(reserve.reservedSlots(NOW + 60_000)).toBe(0)
  })

  it('is switched off by a factor of zero', () => {
    const reserve = createUrgentReserve({ slots: 8, slotsPerUrgentTask: () => 0 })
    for (let count = 0; count < 8; count += 1) reserve.recordStart(NOW)
    expect(reserve.reservedSlots(NOW + 60_000)).toBe(0)
  })
})
