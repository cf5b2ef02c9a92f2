import { describe, expect, it } from 'vitest'
import { createWaitLimit } from '@baobabpost/dispatching'

/** Work of the entry when it handles a job, and when each of its other messages arrives. */
const HANDLING_MILLISECONDS = 3
const MESSAGE_MILLISECONDS = 0.5
const MESSAGES = 4
/** Work to read a job, and to refuse it. */
const READING_MILLISECONDS = 0.2
/** Work for a job that is accepted. */
const ACCEPTED_MILLISECONDS = HANDLING_MILLISECONDS + MESSAGES * MESSAGE_MILLISECONDS
/** Jobs a second that the entry carries. */
const CAPACITY = 1_000 / (READING_MILLISECONDS + ACCEPTED_MILLISECONDS)
const RUN_MILLISECONDS = 200

interface Load {
  readonly seconds: number
  readonly jobsPerSecond: (now: number) => number
  /** Jobs that arrive at the same time. */
  readonly together?: number
  /** Factor of the entry's work after it has worked for a time. */
  readonly slowness?: (worked: number) => number
  /** Time beside its run within which a job is answered in time, in milliseconds. */
  readonly objective?: number
}

interface SecondOutcome { offered: number, inTime: number, refused: number, late: number }

/** Plays a load on an event loop that handles, in each turn, all messages that have arrived, and one waiting job. */
function play ({ seconds, jobsPerSecond, together = 1, slowness = () => 1, objective = 60 }: Load): SecondOutcome[] {
  const limit = createWaitLimit()
  const outcomes = Array.from({ length: seconds }, () => ({ offered: 0, inTime: 0, refused: 0, late: 0 }))
  const waiting: number[] = []
  let messages: Array<{ readonly at: number, readonly arrivedAt: number, readonly isLast: boolean }> = []
  let now = 0
  let worked = 0
  let idle = 0
  let nextAt = 0

  function work (milliseconds: number): void {
    now += milliseconds * slowness(worked)
    worked += milliseconds * slowness(worked)
  }

  function count (arrivedAt: number, outcome: 'offered' | 'inTime' | 'refused' | 'late'): void {
    const second = outcomes[Math.floor(arrivedAt / 1_000)]
    if (second !== undefined) second[outcome] += 1
  }

  while (now < seconds * 1_000) {
    const turnAt = now
    for (let index = 1; nextAt <= turnAt; index += 1) {
      count(nextAt, 'offered')
      work(READING_MILLISECONDS)
      if (limit.admit(waiting.length)) waiting.push(nextAt)
      else count(nextAt, 'refused')
      if (index % together === 0) nextAt += together * 1_000 / jobsPerSecond(nextAt)
    }
    const due = messages.filter(message => message.at <= turnAt)
    messages = messages.filter(message => message.at > turnAt)
    for (const { arrivedAt, isLast } of due) {
      work(MESSAGE_MILLISECONDS)
      if (isLast) count(arrivedAt, now - arrivedAt <= RUN_MILLISECONDS + objective ? 'inTime' : 'late')
    }
    const arrivedAt = waiting.shift()
    if (arrivedAt !== undefined) {
      limit.recordHandling(waiting.length, { now, idle })
      work(HANDLING_MILLISECONDS)
      for (let index = 1; index <= MESSAGES; index += 1) {
        messages.push({ at: now + RUN_MILLISECONDS * index / MESSAGES, arrivedAt, isLast: index === MESSAGES })
      }
    }
    if (waiting.length > 0) continue
    const idleUntil = Math.max(now, Math.min(nextAt, ...messages.map(message => message.at)))
    idle += idleUntil - now
    now = idleUntil
  }
  return outcomes
}

describe('an entry that limits the wait of accepted jobs', () => {
  // A rate by the work of each job fell at once with the slow work of a start, and rose slowly. A pace that is known of
  // waiting jobs only stays slow where none is let wait.
  it.each([1, 2, 3])('serves nine tenths of its callers, %s at a time, a second after its code has become fast', together => {
    const slowness = (worked: number): number => worked < 1_000 ? 10 - 9 * worked / 1_000 : 1
    const outcomes = play({ seconds: 5, jobsPerSecond: () => 0.7 * CAPACITY, together, slowness })
    for (const { offered, inTime } of outcomes.slice(2, -1)) expect(inTime).toBeGreaterThanOrEqual(0.9 * offered)
  })

  // A rate that was searched for in steps took seconds to find what the entry carries.
  it.each([
    { slowness: 1, factor: 1 }, { slowness: 1, factor: 2 }, { slowness: 1, factor: 4 }, { slowness: 1, factor: 8 },
    { slowness: 10, factor: 1 }, { slowness: 10, factor: 2 }, { slowness: 10, factor: 4 }, { slowness: 10, factor: 8 }
  ])('serves nine tenths of what it carries, and hardly anyone late, at $factor times that, with $slowness times the work', ({
    slowness, factor
  }) => {
    const offered = factor * CAPACITY / slowness
    const objective = slowness === 1 ? 60 : 500
    const outcomes = play({ seconds: 10, jobsPerSecond: () => offered, slowness: () => slowness, objective })
    const carried = (1_000 / slowness - offered * READING_MILLISECONDS) / ACCEPTED_MILLISECONDS
    for (const second of outcomes.slice(0, -1)) {
      expect(second.inTime).toBeGreaterThanOrEqual(Math.floor(0.9 * carried))
      expect(second.late).toBeLessThanOrEqual(0.01 * second.offered)
    }
  })

  it('refuses nobody below its capacity', () => {
    for (const { refused } of play({ seconds: 10, jobsPerSecond: () => 0.9 * CAPACITY })) expect(refused).toBe(0)
  })

  // The work between two groups of jobs counted as the time that one of them waits for another.
  it('refuses nobody of a few jobs that arrive together at an entry that is idle for most of its time', () => {
    const limit = createWaitLimit()
    let now = 0
    let idle = 0
    let refused = 0
    for (let group = 0; group < 200; group += 1) {
      const arrivedAt = now
      let waiting = 0
      for (let job = 0; job < 3; job += 1) {
        if (limit.admit(waiting)) waiting += 1
        else refused += 1
      }
      for (; waiting > 0; waiting -= 1) {
        limit.recordHandling(waiting - 1, { now, idle })
        now += HANDLING_MILLISECONDS
      }
      const pause = 400 - (now - arrivedAt)
      now += pause
      idle += 0.85 * pause
    }
    expect(refused).toBe(0)
  })

  // After a burst the rate stayed at what it had fallen to, and jobs were late or refused for three seconds.
  it('serves what it carries in a burst, and everyone from a tenth of a second after it', () => {
    const outcomes = play({ seconds: 6, jobsPerSecond: now => (now >= 2_000 && now < 2_900 ? 4 : 0.7) * CAPACITY })
    for (const [second, { offered, inTime }] of outcomes.slice(0, -1).entries()) {
      expect(inTime).toBeGreaterThanOrEqual(second === 2 ? 0.8 * CAPACITY : offered)
    }
  })
})
