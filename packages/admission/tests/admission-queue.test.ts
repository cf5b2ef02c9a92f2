import { describe, expect, it } from 'vitest'
import fc from 'fast-check'
import { type AdmissionQueue, createAdmissionQueue, type WaitingTask } from '@baobabpost/admission'

const NOW = 1_000_000

function taskOf (fields: Partial<WaitingTask> = {}): WaitingTask {
  return {
    submission: 'job',
    index: 0,
    customer: 'dakar',
    team: 'lending',
    service: 'desk',
    template: 'checkout',
    urgent: false,
    startBefore: NOW + 60_000,
    waitingSince: NOW,
    expectedMilliseconds: 100,
    excludedAgents: [],
    ...fields
  }
}

function jobOf (submission: string, count: number, fields: Partial<WaitingTask> = {}): WaitingTask[] {
  return Array.from({ length: count }, (_, index) => taskOf({ submission, index, ...fields }))
}

/** Takes tasks and counts them by one of their fields. */
function takeAndCount (queue: AdmissionQueue, count: number, field: 'team' | 'customer' | 'template'): Map<string, number> {
  const counts = new Map<string, number>()
  for (let taken = 0; taken < count; taken += 1) {
    const task = queue.next('desk', NOW)
    if (task === undefined) break
    counts.set(task[field], (counts.get(task[field]) ?? 0) + 1)
  }
  return counts
}

describe('order of the waiting queues', () => {
  it('serves urgent tasks before jobs that came earlier', () => {
    const queue = createAdmissionQueue()
    queue.offer(jobOf('job', 5), NOW)
    queue.offer([taskOf({ submission: 'call', urgent: true })], NOW)
    expect(queue.next('desk', NOW)?.submission).toBe('call')
  })

  it('keeps a tenth of the slot time for jobs while urgent tasks never end', () => {
    const queue = createAdmissionQueue()
    queue.offer(jobOf('urgent', 2_000, { urgent: true, template: 'urgent' }), NOW)
    queue.offer(jobOf('job', 2_000, { template: 'job' }), NOW)
    const counts = takeAndCount(queue, 1_000, 'template')
    expect(counts.get('job')).toBeGreaterThanOrEqual(90)
    expect(counts.get('job')).toBeLessThanOrEqual(110)
  })

  it('divides slot time between teams by share, whatever number of customers and tasks they send', () => {
    const queue = createAdmissionQueue()
    queue.setTeams([
      { team: 'large', share: 3, maximumQueuedTasks: 10_000 },
      { team: 'small', share: 1, maximumQueuedTasks: 10_000 }
    ])
    for (let customer = 0; customer < 10; customer += 1) {
      queue.offer(jobOf(`small-${customer}`, 400, { team: 'small', customer: `small-${customer}` }), NOW)
    }
    queue.offer(jobOf('large', 1_500, { team: 'large', customer: 'large' }), NOW)
    const counts = takeAndCount(queue, 1_000, 'team')
    expect(counts.get('large')).toBeGreaterThanOrEqual(740)
    expect(counts.get('large')).toBeLessThanOrEqual(760)
  })

  it('charges slot time, so that long tasks get no more of it than short ones', () => {
    const queue = createAdmissionQueue()
    queue.offer(jobOf('long', 500, { customer: 'long', expectedMilliseconds: 900 }), NOW)
    queue.offer(jobOf('short', 2_000, { customer: 'short', expectedMilliseconds: 100 }), NOW)
    const counts = takeAndCount(queue, 1_000, 'customer')
    expect(counts.get('short')).toBeGreaterThanOrEqual(890)
    expect(counts.get('short')).toBeLessThanOrEqual(910)
  })

  it('gives a team that was idle no claim to the time it missed', () => {
    const queue = createAdmissionQueue()
    queue.offer(jobOf('busy', 1_500, { team: 'busy', customer: 'busy' }), NOW)
    takeAndCount(queue, 1_000, 'team')
    queue.offer(jobOf('late', 500, { team: 'late', customer: 'late' }), NOW)
    const counts = takeAndCount(queue, 100, 'team')
    expect(counts.get('late')).toBeLessThanOrEqual(51)
    expect(counts.get('late')).toBeGreaterThanOrEqual(49)
  })

  it('starves none of 510 teams', () => {
    const queue = createAdmissionQueue()
    for (let team = 0; team < 510; team += 1) {
      queue.offer(jobOf(`job-${team}`, 20, { team: `team-${team}`, customer: `customer-${team}` }), NOW)
    }
    const counts = takeAndCount(queue, 5_100, 'team')
    expect(counts.size).toBe(510)
    expect(Math.min(...counts.values())).toBeGreaterThanOrEqual(9)
    expect(Math.max(...counts.values())).toBeLessThanOrEqual(11)
  })

  it('hands out a task that was put back first, and charges it once', () => {
    const queue = createAdmissionQueue()
    queue.offer(jobOf('one', 100, { customer: 'one' }), NOW)
    queue.offer(jobOf('two', 100, { customer: 'two' }), NOW)
    for (let repeat = 0; repeat < 50; repeat += 1) {
      const task = queue.next('desk', NOW)!
      expect(task.submission).toBe('one')
      queue.putBack(task)
    }
    const counts = takeAndCount(queue, 100, 'customer')
    expect(counts.get('one')).toBe(50)
  })
})

describe('bounds of the waiting queues', () => {
  it('takes all tasks of an offer or none', () => {
    const queue = createAdmissionQueue({ maximumQueuedTasks: 10 })
    expect(queue.offer(jobOf('one', 8), NOW).kind).toBe('admitted')
    expect(queue.offer(jobOf('two', 3), NOW)).toMatchObject({ kind: 'refused', reason: 'overloaded' })
    expect(queue.length()).toBe(8)
  })

  it('bounds what one customer and one team may leave waiting', () => {
    const queue = createAdmissionQueue()
    queue.setCustomers([{ customer: 'dakar', team: 'lending', share: 1, maximumQueuedTasks: 5 }])
    queue.setTeams([{ team: 'lending', share: 1, maximumQueuedTasks: 8 }])
    expect(queue.offer(jobOf('one', 6), NOW)).toMatchObject({ kind: 'refused', reason: 'quota' })
    expect(queue.offer(jobOf('one', 5), NOW).kind).toBe('admitted')
    expect(queue.offer(jobOf('two', 4, { customer: 'thies' }), NOW)).toMatchObject({ reason: 'quota' })
    queue.withdraw('one')
    expect(queue.offer(jobOf('two', 4, { customer: 'thies' }), NOW).kind).toBe('admitted')
  })

  it('refuses at once what can not start before its deadline at the observed rate', () => {
    const queue = createAdmissionQueue()
    queue.setCapacity({ service: 'desk', slots: 10 })
    // 10 slots do 10 ms of work a millisecond: 1,000 tasks of 100 ms take 10 s.
    const late = queue.offer(jobOf('late', 1_000, { startBefore: NOW + 5_000 }), NOW)
    expect(late).toMatchObject({ kind: 'refused', reason: 'deadline' })
    expect(late.kind === 'refused' && late.retryAfterMilliseconds).toBeGreaterThanOrEqual(4_000)
    expect(queue.offer(jobOf('fine', 1_000, { startBefore: NOW + 11_000 }), NOW).kind).toBe('admitted')
  })

  it('takes work again after a time in which nothing was served, once nothing waits any more', () => {
    const queue = createAdmissionQueue()
    queue.offer(jobOf('stuck', 10), NOW)
    let now = NOW
    for (; now < NOW + 30_000; now += 300) queue.offer(jobOf(`probe-${now}`, 1), now)
    expect(queue.offer(jobOf('refused', 1), now)).toMatchObject({ kind: 'refused', reason: 'deadline' })
    queue.expire(now + 60_000)
    const later = { startBefore: now + 120_000, waitingSince: now + 60_000 }
    expect(queue.offer(jobOf('again', 10, later), now + 60_000).kind).toBe('admitted')
  })

  it('corrects the rate by what was served, so that declarations off by ten refuse nothing that fits', () => {
    const queue = createAdmissionQueue()
    queue.setCapacity({ service: 'desk', slots: 10 })
    // Declared 1,000 ms, in truth 100 ms: one task ends each 10 ms.
    queue.offer(jobOf('filling', 2_000, { expectedMilliseconds: 1_000, startBefore: NOW + 600_000 }), NOW)
    let now = NOW
    for (let taken = 0; taken < 500; taken += 1) {
      now += 10
      queue.next('desk', now)
    }
    // 1,500 tasks are ahead, 15 s of work in truth, 150 s as declared.
    const job = jobOf('next', 100, { expectedMilliseconds: 1_000, startBefore: now + 20_000, waitingSince: now })
    expect(queue.offer(job, now).kind).toBe('admitted')
  })

  it('does not refuse a small customer for the backlog of a large one', () => {
    const queue = createAdmissionQueue()
    queue.setCapacity({ service: 'desk', slots: 10 })
    queue.offer(jobOf('large', 2_000, { customer: 'large', team: 'large' }), NOW)
    const job = jobOf('small', 10, { customer: 'small', team: 'small', startBefore: NOW + 1_000 })
    expect(queue.offer(job, NOW).kind).toBe('admitted')
  })

  it('takes out tasks whose time to start or longest wait has passed, and no others', () => {
    const queue = createAdmissionQueue({ maximumWaitMilliseconds: 5_000 })
    queue.offer([taskOf({ submission: 'soon', startBefore: NOW + 1_000 })], NOW)
    queue.offer([taskOf({ submission: 'later', startBefore: NOW + 9_000 })], NOW)
    expect(queue.expire(NOW + 999)).toEqual([])
    expect(queue.expire(NOW + 1_000).map(task => task.submission)).toEqual(['soon'])
    expect(queue.expire(NOW + 5_000).map(task => task.submission)).toEqual(['later'])
    expect(queue.length()).toBe(0)
  })

  it('never hands out a task that is past its time to start', () => {
    const queue = createAdmissionQueue()
    queue.offer([taskOf({ submission: 'past', startBefore: NOW + 10 })], NOW)
    queue.offer([taskOf({ submission: 'open' })], NOW)
    expect(queue.next('desk', NOW + 10)?.submission).toBe('open')
    expect(queue.expire(NOW + 10).map(task => task.submission)).toEqual(['past'])
  })

  it('withdraws the waiting tasks of one submission, by index where asked', () => {
    const queue = createAdmissionQueue()
    queue.offer(jobOf('one', 5), NOW)
    queue.offer(jobOf('two', 5), NOW)
    expect(queue.withdraw('one', new Set([1, 3])).map(task => task.index)).toEqual([1, 3])
    expect(queue.withdraw('one').map(task => task.index)).toEqual([0, 2, 4])
    expect(queue.withdraw('one')).toEqual([])
    expect(queue.length('desk')).toBe(5)
  })
})

describe('a burst of ten times capacity', () => {
  it('keeps the goodput at 90 % of capacity and urgent responses within their bound', () => {
    const queue = createAdmissionQueue()
    const slots = 20
    const runMilliseconds = 200
    queue.setCapacity({ service: 'desk', slots })
    const busyUntil = new Array<number>(slots).fill(NOW)
    let started = 0
    let expired = 0
    let sequence = 0
    const end = NOW + 20_000
    for (let now = NOW; now < end; now += 10) {
      // 20 slots of 200 ms serve one task a 10 ms; ten arrive, and half of what can be served is urgent.
      for (let arrival = 0; arrival < 10; arrival += 1) {
        const urgent = arrival === 0 && now % 20 === 0
        const fields = { submission: `call-${sequence++}`, urgent, startBefore: now + 2_000, waitingSince: now }
        queue.offer([taskOf({ ...fields, expectedMilliseconds: runMilliseconds })], now)
      }
      expired += queue.expire(now).length
      for (let slot = 0; slot < slots; slot += 1) {
        if (busyUntil[slot]! > now) continue
        const task = queue.next('desk', now)
        if (task === undefined) break
        busyUntil[slot] = now + runMilliseconds
        started += 1
        const response = now - task.waitingSince + runMilliseconds
        // Twice the unloaded response and the rest of a running task.
        if (task.urgent) expect(response).toBeLessThanOrEqual(2 * runMilliseconds + runMilliseconds)
      }
    }
    expect(started).toBeGreaterThanOrEqual(0.9 * (end - NOW) / 10)
    expect(expired).toBeLessThanOrEqual(0.05 * sequence)
  })
})

describe('any sequence of operations', () => {
  const operation = fc.oneof(
    fc.record({
      kind: fc.constant('offer' as const),
      count: fc.integer({ min: 1, max: 5 }),
      customer: fc.integer({ min: 0, max: 3 }),
      urgent: fc.boolean(),
      time: fc.integer({ min: 1, max: 50 })
    }),
    fc.record({ kind: fc.constant('next' as const) }),
    fc.record({ kind: fc.constant('return' as const), restore: fc.boolean() }),
    fc.record({ kind: fc.constant('withdraw' as const), job: fc.integer({ min: 0, max: 20 }) }),
    fc.record({ kind: fc.constant('expire' as const), step: fc.integer({ min: 1, max: 20 }) })
  )

  it('neither loses nor doubles a task', () => {
    fc.assert(fc.property(fc.array(operation, { maxLength: 120 }), operations => {
      const queue = createAdmissionQueue()
      const inside = new Set<string>()
      const outside: WaitingTask[] = []
      let now = NOW
      let jobs = 0
      const name = (task: WaitingTask): string => `${task.submission}/${task.index}`
      const leave = (task: WaitingTask): void => {
        expect(inside.delete(name(task))).toBe(true)
      }
      for (const step of operations) {
        if (step.kind === 'offer') {
          const customer = `customer-${step.customer}`
          const times = { startBefore: now + step.time, waitingSince: now }
          const fields = { customer, team: customer, urgent: step.urgent, ...times }
          const tasks = jobOf(`job-${jobs++}`, step.count, fields)
          expect(queue.offer(tasks, now).kind).toBe('admitted')
          for (const task of tasks) inside.add(name(task))
        } else if (step.kind === 'next') {
          const task = queue.next('desk', now)
          if (task === undefined) continue
          leave(task)
          expect(task.startBefore).toBeGreaterThan(now)
          outside.push(task)
        } else if (step.kind === 'return') {
          const task = outside.pop()
          if (task === undefined) continue
          if (step.restore) queue.restore([task])
          else queue.putBack(task)
          inside.add(name(task))
        } else if (step.kind === 'withdraw') {
          for (const task of queue.withdraw(`job-${step.job}`)) leave(task)
        } else {
          now += step.step
          for (const task of queue.expire(now)) leave(task)
        }
      }
      now += 1_000
      for (const task of queue.expire(now)) leave(task)
      expect(inside.size).toBe(0)
      expect(queue.length()).toBe(0)
      expect(queue.services()).toEqual([])
    }))
  })
})
