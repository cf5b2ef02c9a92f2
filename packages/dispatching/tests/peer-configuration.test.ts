import { describe, expect, it } from 'vitest'
import { silentLogger } from '@baobabpost/common'
import { createPeerConfiguration } from '@baobabpost/dispatching'

const ADDRESSES = ['10.0.0.1:1', '10.0.0.2:1', '10.0.0.3:1']

/** Checks every 100 ms whether a peer is to be asked; answers arrive `answerMilliseconds` after the question. */
async function runFor (milliseconds: number, version: number | undefined, answerMilliseconds: number): Promise<{
  readonly asked: string[]
  readonly mostAtOnce: number
}> {
  const asked: string[] = []
  const pending: Array<{ readonly at: number, readonly resolve: () => void }> = []
  let time = 0
  let mostAtOnce = 0
  const askNextPeer = createPeerConfiguration({
    addresses: () => ADDRESSES,
    version: () => version,
    ask: (address, known) => new Promise(resolve => {
      expect(known).toBe(version)
      asked.push(address)
      pending.push({ at: time + answerMilliseconds, resolve: () => { resolve(undefined) } })
      mostAtOnce = Math.max(mostAtOnce, pending.length)
    }),
    onRecord: () => {},
    logger: silentLogger,
    now: () => time
  })
  for (; time < milliseconds; time += 100) {
    while (pending[0] !== undefined && pending[0].at <= time) pending.shift()?.resolve()
    await new Promise(resolve => { setImmediate(resolve) })
    askNextPeer()
  }
  return { asked, mostAtOnce }
}

describe('an entry that can not read the store', () => {
  // All peers were asked at once and again after each failed read; their copies of a large record filled the link.
  it('asks one peer at a time, each in turn', async () => {
    const { asked, mostAtOnce } = await runFor(4_000, 7, 1_000)
    expect(mostAtOnce).toBe(1)
    expect(asked).toEqual([...ADDRESSES, ADDRESSES[0]])
  })

  it('asks about three times in two seconds once it has a configuration, and more often before', async () => {
    const { asked } = await runFor(2_000, 7, 0)
    expect(asked.length).toBeGreaterThanOrEqual(3)
    expect(asked.length).toBeLessThanOrEqual(4)
    const { asked: askedWithout } = await runFor(2_000, undefined, 0)
    expect(askedWithout.length).toBeGreaterThan(10)
  })
})
