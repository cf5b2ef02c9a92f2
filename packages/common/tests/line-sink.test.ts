import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest'
import { createLineSink } from '@baobabpost/common'

beforeEach(() => { vi.useFakeTimers({ toFake: ['setTimeout', 'clearTimeout', 'performance'] }) })
afterEach(() => { vi.useRealTimers() })

const now = (): number => performance.now()

describe('a line sink', () => {
  it('writes the lines of one flush interval in a single write', async () => {
    const texts: string[] = []
    const sink = createLineSink({ now, writeText: (text, done) => { texts.push(text); done(true) } })
    sink.write('a', true)
    sink.write('b', false)
    await vi.advanceTimersByTimeAsync(60)
    expect(texts).toEqual(['a\nb\n'])
  })

  it('drops ordinary lines above the rate limit, but no essential ones', async () => {
    const sink = createLineSink({ now, writeText: (_text, done) => { done(true) } })
    for (let line = 0; line < 1_000; line += 1) sink.write('ordinary', false)
    for (let line = 0; line < 1_000; line += 1) sink.write('essential', true)
    await vi.advanceTimersByTimeAsync(60)
    expect(sink.dropped()).toEqual({ ordinary: 400, essential: 0 })
  })

  it('counts the lines that a closed pipe or a full disk has lost, and goes on', async () => {
    const texts: string[] = []
    const sink = createLineSink({ now, writeText: (text, done) => { done(texts.push(text) > 1) } })
    sink.write('lost', true)
    sink.write('lost too', false)
    await vi.advanceTimersByTimeAsync(60)
    sink.write('written', true)
    await vi.advanceTimersByTimeAsync(60)
    expect(texts[1]).toBe('written\n')
    expect(sink.dropped()).toEqual({ ordinary: 1, essential: 1 })
  })

  it('bounds its buffer in bytes', () => {
    const sink = createLineSink({ now, writeText: () => {} })
    for (let count = 0; count < 4; count += 1) sink.write('\u20ac'.repeat(100_000), true)
    expect(sink.dropped().essential).toBe(1)
  })

  it('accepts lines while a stalled reader blocks the write, and drops only ordinary ones', async () => {
    let completeWrite: (() => void) | undefined
    const texts: string[] = []
    const sink = createLineSink({
      now,
      writeText: (text, done) => {
        texts.push(text)
        completeWrite ??= () => { done(true) }
      }
    })
    const line = 'x'.repeat(1_000)
    sink.write('first', true)
    await vi.advanceTimersByTimeAsync(60)
    for (let second = 0; second < 5; second += 1) {
      for (let count = 0; count < 500; count += 1) sink.write(line, false)
      await vi.advanceTimersByTimeAsync(1_000)
    }
    for (let count = 0; count < 400; count += 1) sink.write('failure', true)
    expect(texts).toEqual(['first\n'])
    expect(sink.dropped().essential).toBe(0)
    expect(sink.dropped().ordinary).toBeGreaterThan(1_900)
    completeWrite?.()
    await vi.advanceTimersByTimeAsync(60)
    expect(texts[1]).toContain('failure\n')
  })
})
