import { beforeEach, describe, expect, it } from 'vitest'
import type { RunOrder, Start } from '@baobabpost/fleet-calls'
import type { UpstreamHeartbeat } from '@baobabpost/runs'
import { createRegistryUnderTest, heartbeat, TASK, type RegistryUnderTest } from './registry-under-test.js'

const SIZE = { processor: 1_000, memory: 64, accelerators: 0 }
const WHOLE_UPSTREAM = { processor: 32_000, memory: 64, accelerators: 0 }
const SMALL_CAPACITY = { processor: 16_000, memory: 131_072, accelerators: 0 }

let agent: RegistryUnderTest

beforeEach(() => {
  agent = createRegistryUnderTest()
  agent.registry.handleHeartbeat(heartbeat({ labels: ['a', 'r1-3'] }), agent.advance(1))
  agent.advance(1)
  agent.list()
})

/** Replaces the upstream by its next instance, which serves. */
function replaceUpstream (fields: Partial<UpstreamHeartbeat>, instance = { id: 'i-2', startedAt: 5_000 }): void {
  agent.registry.handleHeartbeat(heartbeat({ instance, labels: ['a', 'r1-3'], ...fields }), agent.advance(1))
  agent.advance(1)
  agent.list({ startedAt: instance.startedAt })
}

describe('an order that was planned for the former instance of an upstream', () => {
  // The order named nothing that it requires, so the next instance started it whatever it was.
  it.each<[string, Partial<UpstreamHeartbeat>, Partial<RunOrder>]>([
    ['another kind', { labels: ['b', 'r1-3'] }, { label: 'a' }],
    ['another rack', { labels: ['a', 'r2-1'] }, { label: 'r1-3' }],
    ['another service', { service: 'portal' }, {}],
    ['too small a capacity', { capacity: SMALL_CAPACITY }, { size: WHOLE_UPSTREAM }]
  ])('is refused by an instance of %s, with its profile', (_kind, fields, order) => {
    expect(agent.orderWith({ task: 'former', ...order }, { service: 'desk' }).verdicts).toEqual(['accepted'])
    replaceUpstream(fields)
    const { verdicts, profile } = agent.orderWith(order, { service: 'desk' })
    expect(verdicts).toEqual(['unsuitable'])
    expect(profile).toMatchObject({ instance: 5_000, accepting: true, ...fields })
    expect(agent.starts.map(({ record }) => record.order.task)).toEqual(['former'])
  })

  it('is also refused under the id that the former instance had', () => {
    replaceUpstream({ labels: ['b'] }, { id: 'i-1', startedAt: 5_000 })
    expect(agent.orderWith({ label: 'a' }, { service: 'desk' }).verdicts).toEqual(['unsuitable'])
  })

  // Refusing every order under way at a restart would cost each of their callers a round trip.
  it('is carried out by an instance that meets its requirements, without the profile', () => {
    replaceUpstream({})
    const { verdicts, profile } = agent.orderWith({ label: 'a' }, { service: 'desk' })
    expect(verdicts).toEqual(['accepted'])
    expect(profile).toBeUndefined()
    expect(agent.starts).toHaveLength(1)
  })
})

describe('a run that waits while its upstream changes', () => {
  const SECOND_TASK = '5c0e7a21d94b36f8.0.0.1'

  beforeEach(() => {
    agent.orderWith({ task: SECOND_TASK, size: WHOLE_UPSTREAM }, { service: 'desk' })
    agent.answerLastStart('taken')
  })

  // An instance that does not report its start, or an operator's change of its labels, keeps the waiting runs.
  it.each<[string, Partial<UpstreamHeartbeat>]>([
    ['label', { labels: ['b'] }], ['service', { service: 'portal' }], ['capacity', { capacity: { ...SIZE, processor: 500 } }]
  ])('is given back as not started once the %s does not suit it any more', (_kind, fields) => {
    expect(agent.orderWith({ label: 'a' }, { service: 'desk' }).verdicts).toEqual(['accepted'])
    agent.registry.handleHeartbeat(heartbeat({ sequence: 2, labels: ['a'], ...fields }), agent.advance(10))
    expect(agent.watch().reports).toMatchObject([{ task: TASK, outcome: 'not-started', reason: 'unsuitable' }])
    expect(agent.starts).toHaveLength(1)
  })

  // The order may have been lost and is sent again, to whatever is there by then.
  it('is not ordered again at an upstream that lost its label, once a listing shows that it did not start', () => {
    agent.orderWith({ label: 'a', size: { ...SIZE, processor: 0 } }, { service: 'desk' })
    agent.answerLastStart('unanswered')
    agent.registry.handleHeartbeat(heartbeat({ sequence: 2, labels: ['b'] }), agent.advance(10))
    agent.list({ running: [{ task: SECOND_TASK, run: 1, percent: 10 }] })
    expect(agent.starts.filter(({ record }) => record.order.task === TASK)).toHaveLength(1)
    expect(agent.stops.map(({ record }) => record.order.task)).toEqual([TASK])
  })
})

describe('an order of a build that states no service', () => {
  const start = (order: Partial<RunOrder>, fields: Partial<Start> = {}) => agent.orderWith(order, fields).verdicts

  it('is accepted, since nothing shows what it requires', () => {
    replaceUpstream({ labels: ['b'], service: 'portal' })
    expect(start({})).toEqual(['accepted'])
  })

  // Its entry does not know the verdict, and would have to stop a run that was never accepted.
  it('is refused with a verdict that its entry knows if it is larger than the upstream', () => {
    replaceUpstream({ capacity: SMALL_CAPACITY })
    expect(start({ size: WHOLE_UPSTREAM })).toEqual(['no-room'])
  })
})
