import { describe, expect, test } from 'vitest'
import { createRandom } from '@baobabpost/common'
import { createAppendQueue, type AppendQueue } from '@baobabpost/platform-log'

function createQueue (): AppendQueue {
  return createAppendQueue({
    maximumPending: 3,
    maximumInFlight: 2,
    maximumPerSecond: 10,
    minimumBackOffMilliseconds: 50,
    maximumBackOffMilliseconds: 1_000,
    abandonAfterMilliseconds: 10_000,
    random: createRandom(1)
  })
}

describe('createAppendQueue', () => {
  test('limits the number of pending, in-flight and per-second appends', () => {
    const queue = createQueue()
    expect(['a', 'b', 'c', 'd'].map(nonce => queue.add({ nonce, data: '' }, 0))).toEqual([true, true, true, false])
    expect([queue.next(0)?.nonce, queue.next(0)?.nonce, queue.next(0)]).toEqual(['a', 'b', undefined])
    let sent = 0
    for (let now = 0; now < 1_000; now += 1) {
      for (const nonce of ['a', 'b', 'c']) queue.attemptFinished(nonce, { kind: 'appended', offset: 1 }, now)
      queue.add({ nonce: 'a', data: '' }, now)
      if (queue.next(now) !== undefined) sent += 1
    }
    expect(sent).toBeLessThanOrEqual(20)
  })

  test('sends a doubtful record again only after a read that started later reached the end without finding it', () => {
    const queue = createQueue()
    queue.add({ nonce: 'a', data: '' }, 0)
    queue.next(0)
    queue.attemptFinished('a', { kind: 'doubtful' }, 100)
    expect(queue.next(5_000)).toBeUndefined()
    queue.endReached(100)
    expect(queue.next(5_000)).toBeUndefined()
    queue.endReached(101)
    expect(queue.next(5_000)?.nonce).toBe('a')
  })

  test('reports a doubtful record as appended once it is read, without sending it again', () => {
    const queue = createQueue()
    queue.add({ nonce: 'a', data: '' }, 0)
    queue.next(0)
    queue.attemptFinished('a', { kind: 'doubtful' }, 100)
    expect(queue.foundOnLog('a', 7)).toEqual({ kind: 'appended', nonce: 'a', offset: 7 })
    queue.endReached(200)
    expect([queue.next(5_000), queue.pendingCount()]).toEqual([undefined, 0])
  })

  test('reports expired records as abandoned only if they can not be on the log, otherwise as unknown', () => {
    const queue = createQueue()
    for (const nonce of ['refused', 'doubted', 'sending']) queue.add({ nonce, data: '' }, 0)
    queue.next(0)
    queue.attemptFinished('refused', { kind: 'refused' }, 1)
    queue.next(1)
    queue.attemptFinished('doubted', { kind: 'doubtful' }, 2)
    queue.endReached(3)
    queue.next(4)
    expect(queue.expire(9_999)).toEqual([])
    expect(queue.expire(10_000).map(outcome => [outcome.nonce, outcome.kind]))
      .toEqual([['refused', 'abandoned'], ['doubted', 'unknown'], ['sending', 'unknown']])
    expect(queue.attemptFinished('sending', { kind: 'appended', offset: 3 }, 10_001)).toBeUndefined()
  })
})
