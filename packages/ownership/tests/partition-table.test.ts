import { expect, it } from 'vitest'
import { createEntryIdentity } from '@baobabpost/common'
import { createPartitionTable } from '../src/partition-table.js'

it('a partition that was won and lost in one read of the log is not given away as if all were known of it', () => {
  const [former, identity, next] = ['former', 'own', 'next'].map(createEntryIdentity) as [never, never, never]
  const table = createPartitionTable(identity)
  const change = (version: number, owner: string, previousVersion: number): ReturnType<typeof table.change> =>
    table.change('3', { register: 'partition/3', version, value: { owner }, previousVersion })
  change(10, former, 0)
  expect(change(20, identity, 10)?.won).toMatchObject({ partition: 3, epoch: 20, formerOwner: former })
  expect(table.isWhole(3)).toBe(false)
  expect(table.servingEpoch(3)).toBeUndefined()
  expect(table.state(3)).toMatchObject({ phase: 'collecting', uncertainBefore: Infinity })
  expect(change(30, next, 20)?.given).toBeUndefined()
})

it('a partition that was never owned is whole at once, and given away as such', () => {
  const [identity, next] = ['own', 'next'].map(createEntryIdentity) as [never, never]
  const table = createPartitionTable(identity)
  table.change('3', { register: 'partition/3', version: 10, value: { owner: identity }, previousVersion: 0 })
  const step = table.change('3', { register: 'partition/3', version: 20, value: { owner: next }, previousVersion: 10 })
  expect(step?.given).toEqual({ partition: 3, to: next, epoch: 20, uncertainBefore: 0 })
})
