import { describe, expect, it } from 'vitest'
import fc from 'fast-check'
import { type AdmissionQueue, createAdmissionQueue, type WaitingTask } from '@baobabpost/admission'

const NOW = 1_000_000

function createTask (fields: Partial<WaitingTask> = {}): WaitingTask {
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

function createJob (submission: string, count: number, fields: Partial<WaitingTask> = {}): WaitingTask[] {
  return Array.from({ length: count }, (_, index) => createTask({ submission, index, ...fields }))
}

/** Takes tasks from the queue with `next` and counts them by one of their fields. */
function countNext (queue: AdmissionQueue, count: number, field: 'team' | 'customer' | 'template'): Map<string, number> {
  const counts = new Map<string, number>()
  for (let taken = 0; taken < count; taken += 1) {
    const task = queue.next('desk', NOW)
    if (task === undefined) break
    counts.set(task[field], (counts.get(task[field]) ?? 0) + 1)
  }
  return counts
}

describe('order of the admission queue', () => {
  it('serves urgent tasks before jobs that arrived earlier', () => {
    const queue = createAdmissionQueue()
    queue.offer(createJob('job', 5), NOW)
    queue.offer([createTask({ submission: 'call', urgent: true })], NOW)
    expect(queue.next('desk', NOW)?.submission).toBe('call')
  })

  it('gives jobs a tenth of the slot time while urgent tasks always wait', () => {
    const queue = createAdmissionQueue()
    queue.offer(createJob('urgent', 2_000, { urgent: true, template: 'urgent' }), NOW)
    queue.offer(createJob('job', 2_000, { template: 'job' }), NOW)
    const counts = countNext(queue, 1_000, 'template')
    expect(counts.get('job')).toBeGreaterThanOrEqual(90)
    expect(counts.get('job')).toBeLessThanOrEqual(110)
  })

  it('divides slot time between teams by share, regardless of their numbers of customers and tasks', () => {
    const queue = createAdmissionQueue()
    queue.setTeams([
      { team: 'large', share: 3, maximumQueuedTasks: 10_000 },
      { team: 'small', share: 1, maximumQueuedTasks: 10_000 }
    ])
    for (let customer = 0; customer < 10; customer += 1) {
      queue.offer(createJob(`small-${customer}`, 400, { team: 'small', customer: `small-${customer}` }), NOW)
    }
    queue.offer(createJob('large', 1_500, { team: 'large', customer: 'large' }), NOW)
    const counts = countNext(queue, 1_000, 'team')
    expect(counts.get('large')).toBeGreaterThanOrEqual(740)
    expect(counts.get('large')).toBeLessThanOrEqual(760)
  })

  it('divides slot time rather than tasks equally between customers with long and short tasks', () => {
    const queue = createAdmissionQueue()
    queue.offer(createJob('long', 500, { customer: 'long', expectedMilliseconds: 900 }), NOW)
    queue.offer(createJob('short', 2_000, { customer: 'short', expectedMilliseconds: 100 }), NOW)
    const counts = countNext(queue, 1_000, 'customer')
    expect(counts.get('short')).toBeGreaterThanOrEqual(890)
    expect(counts.get('short')).toBeLessThanOrEqual(910)
  })

  it('gives a team no credit for the time in which it was idle', () => {
    const queue = createAdmissionQueue()
    queue.offer(createJob('busy', 1_500, { team: 'busy', customer: 'busy' }), NOW)
    countNext(queue, 1_000, 'team')
    queue.offer(createJob('late', 500, { team: 'late', customer: 'late' }), NOW)
    const counts = countNext(queue, 100, 'team')
    expect(counts.get('late')).toBeLessThanOrEqual(51)
    expect(counts.get('late')).toBeGreaterThanOrEqual(49)
  })

  it('divides slot time evenly among 510 teams', () => {
    const queue = createAdmissionQueue()
    for (let team = 0; team < 510; team += 1) {
      queue.offer(createJob(`job-${team}`, 20, { team: `team-${team}`, customer: `customer-${team}` }), NOW)
    }
    const counts = countNext(queue, 5_100, 'team')
    expect(counts.size).toBe(510)
    expect(Math.min(...counts.values())).toBeGreaterThanOrEqual(9)
    expect(Math.max(...counts.values())).toBeLessThanOrEqual(11)
  })

  it('returns a task that was put back first, and charges it only once', () => {
    const queue = createAdmissionQueue()
    queue.offer(createJob('one', 100, { customer: 'one' }), NOW)
    queue.offer(createJob('two', 100, { customer: 'two' }), NOW)
    for (let repeat = 0; repeat < 50; repeat += 1) {
      const task = queue.next('desk', NOW)!
      expect(task.submission).toBe('one')
      queue.putBack(task)
    }
    const counts = countNext(queue, 100, 'customer')
    expect(counts.get('one')).toBe(50)
  })
})

describe('bounds of the admission queue', () => {
  it('admits either all tasks of an offer or none', () => {
    const queue = createAdmissionQueue({ maximumQueuedTasks: 10 })
    expect(queue.offer(createJob('one', 8), NOW).kind).toBe('admitted')
    expect(queue.offer(createJob('two', 3), NOW)).toMatchObject({ kind: 'refused', reason: 'overloaded' })
    expect(queue.length()).toBe(8)
  })

  it('bounds the waiting tasks of a customer and of a team', () => {
    const queue = createAdmissionQueue()
    queue.setCustomers([{ customer: 'dakar', team: 'lending', share: 1, maximumQueuedTasks: 5 }])
    queue.setTeams([{ team: 'lending', share: 1, maximumQueuedTasks: 8 }])
    expect(queue.offer(createJob('one', 6), NOW)).toMatchObject({ kind: 'refused', reason: 'quota' })
    expect(queue.offer(createJob('one', 5), NOW).kind).toBe('admitted')
    expect(queue.offer(createJob('two', 4, { customer: 'thies' }), NOW)).toMatchObject({ reason: 'quota' })
    queue.withdraw('one')
    expect(queue.offer(createJob('two', 4, { customer: 'thies' }), NOW).kind).toBe('admitted')
  })

  it('refuses a job at once that can not start before its deadline at the known rate', () => {
    const queue = createAdmissionQueue()
    queue.setCapacity({ service: 'desk', slots: 10 })
    // 10 slots serve 10 ms of slot time per millisecond, so that 1,000 tasks of 100 ms take 10 s.
    const refusal = queue.offer(createJob('late', 1_000, { startBefore: NOW + 5_000 }), NOW)
    expect(refusal).toMatchObject({ kind: 'refused', reason: 'deadline' })
    expect(refusal.kind === 'refused' && refusal.retryAfterMilliseconds).toBeGreaterThanOrEqual(4_000)
    expect(queue.offer(createJob('fine', 1_000, { startBefore: NOW + 11_000 }), NOW).kind).toBe('admitted')
  })

  it('admits tasks again after a stall, once no task waits any more', () => {
    const queue = createAdmissionQueue()
    queue.offer(createJob('stuck', 10), NOW)
    let now = NOW
    for (; now < NOW + 30_000; now += 300) queue.offer(createJob(`probe-${now}`, 1), now)
    expect(queue.offer(createJob('refused', 1), now)).toMatchObject({ kind: 'refused', reason: 'deadline' })
    queue.expire(now + 60_000)
    const laterTimes = { startBefore: now + 120_000, waitingSince: now + 60_000 }
    expect(queue.offer(createJob('again', 10, laterTimes), now + 60_000).kind).toBe('admitted')
  })

  it('admits a job that fits at the observed rate although run times are declared ten times too long', () => {
    const queue = createAdmissionQueue()
    queue.setCapacity({ service: 'desk', slots: 10 })
    // Tasks are declared with 1,000 ms and actually run for 100 ms: one completes every 10 ms.
    queue.offer(createJob('filling', 2_000, { expectedMilliseconds: 1_000, startBefore: NOW + 600_000 }), NOW)
    let now = NOW
    for (let taken = 0; taken < 500; taken += 1) {
      now += 10
      queue.next('desk', now)
    }
    // The 1,500 tasks ahead actually take 15 s; as declared they would take 150 s.
    const job = createJob('next', 100, { expectedMilliseconds: 1_000, startBefore: now + 20_000, waitingSince: now })
    expect(queue.offer(job, now).kind).toBe('admitted')
  })

  it('does not refuse a small customer because of the backlog of a large one', () => {
    const queue = createAdmissionQueue()
    queue.setCapacity({ service: 'desk', slots: 10 })
    queue.offer(createJob('large', 2_000, { customer: 'large', team: 'large' }), NOW)
    const job = createJob('small', 10, { customer: 'small', team: 'small', startBefore: NOW + 1_000 })
    expect(queue.offer(job, NOW).kind).toBe('admitted')
  })

  it('expires exactly the tasks past their start time or the maximum wait', () => {
    const queue = createAdmissionQueue({ maximumWaitMilliseconds: 5_000 })
    queue.offer([createTask({ submission: 'soon', startBefore: NOW + 1_000 })], NOW)
    queue.offer([createTask({ submission: 'later', startBefore: NOW + 9_000 })], NOW)
    expect(queue.expire(NOW + 999)).toEqual([])
    expect(queue.expire(NOW + 1_000).map(task => task.submission)).toEqual(['soon'])
    expect(queue.expire(NOW + 5_000).map(task => task.submission)).toEqual(['later'])
    expect(queue.length()).toBe(0)
  })

  it('never returns a task from next after its start time; expire returns it', () => {
    const queue = createAdmissionQueue()
    queue.offer([createTask({ submission: 'past', startBefore: NOW + 10 })], NOW)
    queue.offer([createTask({ submission: 'open' })], NOW)
    expect(queue.next('desk', NOW + 10)?.submission).toBe('open')
    expect(queue.expire(NOW + 10).map(task => task.submission)).toEqual(['past'])
  })

  it('withdraws all waiting tasks of one submission, or only those with the given indexes', () => {
    const queue = createAdmissionQueue()
    queue.offer(createJob('one', 5), NOW)
    queue.offer(createJob('two', 5), NOW)
    expect(queue.withdraw('one', new Set([1, 3])).map(task => task.index)).toEqual([1, 3])
    expect(queue.withdraw('one').map(task => task.index)).toEqual([0, 2, 4])
    expect(queue.withdraw('one')).toEqual([])
    expect(queue.length('desk')).toBe(5)
  })
})

describe('a burst of ten times capacity', () => {
  it('keeps goodput at 90 % of capacity or more and urgent response times within their bound', () => {
    const queue = createAdmissionQueue()
    const slots = 20
    const runMilliseconds = 200
    queue.setCapacity({ service: 'desk', slots })
    const slotBusyUntil = new Array<number>(slots).fill(NOW)
    let started = 0
    let expired = 0
    let sequence = 0
    const end = NOW + 20_000
    for (let now = NOW; now < end; now += 10) {
      // 20 slots serve one task of 200 ms every 10 ms. Ten tasks arrive in that time; the urgent ones among them need
      // half of the capacity.
      for (let arrival = 0; arrival < 10; arrival += 1) {
        const urgent = arrival === 0 && now % 20 === 0
        const fields = { submission: `call-${sequence++}`, urgent, startBefore: now + 2_000, waitingSince: now }
        queue.offer([createTask({ ...fields, expectedMilliseconds: runMilliseconds })], now)
      }
      expired += queue.expire(now).length
      for (let slot = 0; slot < slots; slot += 1) {
        if (slotBusyUntil[slot]! > now) continue
        const task = queue.next('desk', now)
        if (task === undefined) break
        slotBusyUntil[slot] = now + runMilliseconds
        started += 1
        const response = now - task.waitingSince + runMilliseconds
        // Twice the response time without load, plus the rest of a running task.
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

  it('neither loses nor duplicates a task', () => {
    fc.assert(fc.property(fc.array(operation, { maxLength: 120 }), operations => {
      const queue = createAdmissionQueue()
      const waitingNames = new Set<string>()
      const takenTasks: WaitingTask[] = []
      let now = NOW
      let jobs = 0
      const name = (task: WaitingTask): string => `${task.submission}/${task.index}`
      const expectRemoved = (task: WaitingTask): void => {
        expect(waitingNames.delete(name(task))).toBe(true)
      }
      for (const step of operations) {
        if (step.kind === 'offer') {
          const customer = `customer-${step.customer}`
          const times = { startBefore: now + step.time, waitingSince: now }
          const fields = { customer, team: customer, urgent: step.urgent, ...times }
          const tasks = createJob(`job-${jobs++}`, step.count, fields)
          expect(queue.offer(tasks, now).kind).toBe('admitted')
          for (const task of tasks) waitingNames.add(name(task))
        } else if (step.kind === 'next') {
          const task = queue.next('desk', now)
          if (task === undefined) continue
          expectRemoved(task)
          expect(task.startBefore).toBeGreaterThan(now)
          takenTasks.push(task)
        } else if (step.kind === 'return') {
          const task = takenTasks.pop()
          if (task === undefined) continue
          if (step.restore) queue.restore([task])
          else queue.putBack(task)
          waitingNames.add(name(task))
        } else if (step.kind === 'withdraw') {
          for (const task of queue.withdraw(`job-${step.job}`)) expectRemoved(task)
        } else {
          now += step.step
          for (const task of queue.expire(now)) expectRemoved(task)
        }
      }
      now += 1_000
      for (const task of queue.expire(now)) expectRemoved(task)
      expect(waitingNames.size).toBe(0)
      expect(queue.length()).toBe(0)
      expect(queue.services()).toEqual([])
    }))
  })
})
