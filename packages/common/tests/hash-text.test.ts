import { expect, it } from 'vitest'
import { hashText } from '@baobabpost/common'

it('tells similar names apart, also in the digest of many: a collision would hide a member', () => {
  const digests = new Set<number>()
  for (let first = 0; first < 160; first += 1) {
    const hash = hashText(`agent agent-${first} 10.1.0.${first}:7720`)
    for (let second = 0; second < first; second += 1) {
      digests.add((hash ^ hashText(`agent agent-${second} 10.1.0.${second}:7720`)) >>> 0)
    }
  }
  // Two of the 12,720 pairs may collide by chance, with a probability of 2 %.
  expect(digests.size).toBeGreaterThanOrEqual(160 * 159 / 2 - 1)
})
