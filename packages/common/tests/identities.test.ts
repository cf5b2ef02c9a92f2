import { describe, expect, test } from 'vitest'
import fc from 'fast-check'
import { Schema } from 'effect'
import {
  canonicalJson, createSubmissionKey, PARTITION_COUNT, partitionOf, SubmissionKey, submissionKeyTime
} from '@baobabpost/common'

describe('submission keys', () => {
  test('contain the time for which they were created', () => {
    fc.assert(fc.property(fc.integer({ min: 0, max: 2 ** 47 }), milliseconds => {
      expect(submissionKeyTime(createSubmissionKey(milliseconds))).toBe(milliseconds)
    }))
  })

  test('always have the same partition for the same key', () => {
    const key = createSubmissionKey()
    expect(partitionOf(key)).toBe(partitionOf(key))
    expect(partitionOf(key)).toBeLessThan(PARTITION_COUNT)
  })

  test('are rejected unless they are UUIDs of version 7', () => {
    const accepts = Schema.is(SubmissionKey)
    expect(accepts(createSubmissionKey())).toBe(true)
    expect(accepts('9b2f0b4e-7b52-4a51-9a5e-0d8f1b8d7b11')).toBe(false)
    expect(accepts('')).toBe(false)
  })
})

test('canonical JSON does not depend on the order of members', () => {
  fc.assert(fc.property(fc.dictionary(fc.string(), fc.jsonValue()), value => {
    const reversed = Object.fromEntries(Object.entries(value).reverse())
    expect(canonicalJson(reversed)).toBe(canonicalJson(value))
  }))
})
