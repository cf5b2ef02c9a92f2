import { describe, expect, it } from 'vitest'
import { createRegistryUnderTest, heartbeat, TASK, type RegistryUnderTest } from './registry-under-test.js'

const EVACUATED = { position: 7, domains: ['domain-1'] }
const IN_SERVICE = { position: 8, domains: [] }

/** A registry whose upstream serves. */
function serving (): RegistryUnderTest {
  const underTest = createRegistryUnderTest()
  underTest.registry.handleHeartbeat(heartbeat(), underTest.advance(1))
  underTest.list()
  return underTest
}

function evacuate (underTest: RegistryUnderTest, evacuations = EVACUATED): void {
  underTest.registry.answerEvacuations({ evacuations }, underTest.advance(1))
}

describe('an upstream in an evacuated failure domain', () => {
  it('gets no first order, from an entry that does not know of the evacuation', () => {
    const underTest = serving()
    evacuate(underTest)
    expect(underTest.order(1).verdicts).toEqual(['not-accepting'])
    expect(underTest.starts).toEqual([])
  })

  it('gets no order from a start that itself brings the evacuation, as after a restart of the agent', () => {
    const underTest = serving()
    const now = underTest.advance(1)
    const caller = { entry: 'entry-1', incarnation: 'entry-1-1', heardAt: now, heardFrom: 'agent-1', evacuations: EVACUATED }
    const { verdicts } = underTest.registry.answerStart({
      caller,
      specification: '{}',
      priority: 0,
      patienceMilliseconds: 50,
      orders: [{ task: TASK, run: 1, size: { processor: 1, memory: 1, accelerators: 0 }, estimateMilliseconds: 100 }]
    }, now)
    expect(verdicts).toEqual(['not-accepting'])
    expect(underTest.starts).toEqual([])
  })

  it('gets no waiting run, which goes back to its entry at once', () => {
    const underTest = serving()
    for (let count = 1; count <= 33; count += 1) underTest.order(1, `${TASK}${count}`)
    expect(underTest.starts.length).toBe(32)
    evacuate(underTest)
    expect(underTest.watch().reports.map(({ outcome, reason }) => ({ outcome, reason })))
      .toEqual([{ outcome: 'not-started', reason: 'evacuated' }])
    expect(underTest.starts.length).toBe(32)
  })

  it.each(['fenced', 'late', 'old-run'] as const)('gets no repeated order after the first was answered with %s', outcome => {
    const underTest = serving()
    underTest.order(1)
    evacuate(underTest)
    underTest.answerLastStart(outcome)
    expect(underTest.starts.length).toBe(1)
    expect(underTest.watch().reports[0]?.outcome).toBe('not-started')
  })

  it('gets no repeated order after the first got no answer and its run is not listed', () => {
    const underTest = serving()
    underTest.order(1)
    underTest.answerLastStart('unanswered')
    evacuate(underTest)
    for (let count = 0; count < 20; count += 1) {
      underTest.list()
      if (underTest.stops.length > 0) underTest.answerLastStop('taken')
    }
    expect(underTest.starts.length).toBe(1)
    expect(underTest.watch().reports[0]?.outcome).toBe('not-started')
  })

  it('completes the runs that it has', () => {
    const underTest = serving()
    underTest.order(1)
    underTest.answerLastStart('taken')
    evacuate(underTest)
    underTest.list({ ended: [{ number: 1, task: TASK, run: 1, kind: 'done' }] })
    expect(underTest.stops).toEqual([])
    expect(underTest.watch().reports[0]?.outcome).toBe('done')
  })

  it('gets orders again once an entry knows that the evacuation has ended, and keeps to that', () => {
    const underTest = serving()
    evacuate(underTest)
    evacuate(underTest, IN_SERVICE)
    evacuate(underTest)
    expect(underTest.order(1).verdicts).toEqual(['accepted'])
    expect(underTest.starts.length).toBe(1)
  })

  it('tells an entry that knows less what it has heard', () => {
    const underTest = serving()
    evacuate(underTest)
    expect(underTest.watch().evacuations).toEqual(EVACUATED)
  })
})
