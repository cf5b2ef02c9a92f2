import { describe, expect, it } from 'vitest'
import { createEvacuationRegister } from '@baobabpost/fleet-calls'

/** A register that has read the log up to position 10, with domain `a` evacuated. */
function registerAtTen (): ReturnType<typeof createEvacuationRegister> {
  const register = createEvacuationRegister()
  register.applyListing(['a'], 10)
  return register
}

describe('register of evacuated failure domains', () => {
  it('can not rule out an evacuation before a position of the log is known', () => {
    const register = createEvacuationRegister()
    expect(register.state()).toBeUndefined()
    register.applyListing([], 4)
    expect(register.state()).toEqual({ position: 4, domains: [] })
  })

  it('does not end an evacuation on an older record, listing or copy', () => {
    const register = registerAtTen()
    expect(register.applyRecord('a', false, 9)).toBe(false)
    expect(register.applyListing([], 9)).toBe(false)
    expect(register.merge({ position: 10, domains: [] })).toBe(false)
    expect(register.isEvacuated('a')).toBe(true)
  })

  it('ends an evacuation on a newer record, listing or copy', () => {
    const byRecord = registerAtTen()
    expect(byRecord.applyRecord('a', false, 10)).toBe(true)
    const byListing = registerAtTen()
    expect(byListing.applyListing([], 10)).toBe(true)
    const byCopy = registerAtTen()
    expect(byCopy.merge({ position: 11, domains: [] })).toBe(true)
    for (const register of [byRecord, byListing, byCopy]) expect(register.isEvacuated('a')).toBe(false)
  })

  it('keeps an evacuation that a page showed when the rest of the listing is lost', () => {
    const register = registerAtTen()
    expect(register.applyListed('b', 12)).toBe(true)
    expect(register.isEvacuated('a')).toBe(true)
    expect(register.isEvacuated('b')).toBe(true)
    expect(register.merge({ position: 11, domains: ['a'] })).toBe(false)
    expect(register.isEvacuated('b')).toBe(true)
  })

  it('does not evacuate again by a page that was delayed past the end of the evacuation', () => {
    const register = registerAtTen()
    register.applyRecord('a', false, 14)
    expect(register.applyListed('a', 9)).toBe(false)
    expect(register.isEvacuated('a')).toBe(false)
  })

  it('follows evacuations that are ended and ordered again in quick succession', () => {
    const register = registerAtTen()
    register.applyRecord('a', false, 10)
    register.applyRecord('b', true, 11)
    register.applyRecord('a', true, 12)
    expect(register.state()).toEqual({ position: 13, domains: ['a', 'b'] })
  })

  it('learns the end of an evacuation whose record the log has dropped from a complete listing', () => {
    const register = registerAtTen()
    expect(register.applyListing([], 400)).toBe(true)
    expect(register.isEvacuated('a')).toBe(false)
  })
})
