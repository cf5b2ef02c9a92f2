import { expect, it } from 'vitest'
import { createEntryIdentity } from '@baobabpost/common'
import { createPartitionTable } from '../src/partition-table.js'

it('a partition that was acquired and lost in one read of the log is not handed over as fully known', () => {
  const [former, identity, next] = ['former', 'own', 'next'].map(createEntryIdentity) as [never, never, never]
  const table = createPartitionTable(identity)
  const change = (version: number, owner: string, previousVersion: number): ReturnType<typeof table.applyChange> =>
    table.applyChange('3', { register: 'partition/3', version, value: { owner }, previousVersion })
  change(10, former, 0)
  expect(change(20, identity, 10)?.acquired).toMatchObject({ partition: 3, epoch: 20, formerOwner: former })
  expect(table.isFullyKnown(3)).toBe(false)
  expect(table.servingEpoch(3)).toBeUndefined()
  expect(table.state(3)).toMatchObject({ phase: 'collecting', uncertainBefore: Infinity })
  expect(change(30, next, 20)?.released).toBeUndefined()
})

it('a partition that was never owned before is fully known immediately and handed over as such', () => {
  const [identity, next] = ['own', 'next'].map(createEntryIdentity) as [never, never]
  const table = createPartitionTable(identity)
  table.applyChange('3', { register: 'partition/3', version: 10, value: { owner: identity }, previousVersion: 0 })
  const step = table.applyChange('3', { register: 'partition/3', version: 20, value: { owner: next }, previousVersion: 10 })
  expect(step?.released).toEqual({ partition: 3, to: next, epoch: 20, uncertainBefore: 0 })
})
