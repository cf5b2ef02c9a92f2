import { describe, expect, it } from 'vitest'
import {
  createAgentView, LatestStartAdmission, latestStartMilliseconds, PatientAdmission, type PlacementChoice
} from '@baobabpost/dispatching'

const OBJECTIVE_MILLISECONDS = 380
const RUN_MILLISECONDS = 200

function choiceAfter (waitMilliseconds: number, lastContactAt = 0): PlacementChoice {
  const agent = { ...createAgentView('entry-1', 'agent-1', '10.1.0.1:7720'), lastContactAt }
  return { agent, waitMilliseconds, finishMilliseconds: waitMilliseconds + RUN_MILLISECONDS }
}

describe('admission by the latest start', () => {
  const admission = new LatestStartAdmission()
  const earlier = new PatientAdmission()

  // With admission by the expected finish, a full queue made every job late by the few milliseconds of its answer.
  it('leaves time for the answer of a job that has to wait', () => {
    const choice = choiceAfter(175)
    expect(earlier.fits(choice, OBJECTIVE_MILLISECONDS)).toBe(true)
    expect(admission.fits(choice, OBJECTIVE_MILLISECONDS, 0, 10)).toBe(false)
    expect(admission.fits(choiceAfter(120), OBJECTIVE_MILLISECONDS, 0, 10)).toBe(true)
  })

  it('decides as before where capacity is free', () => {
    for (const remaining of [190, 200, 210, 240, 280, 380]) {
      const choice = choiceAfter(0)
      expect(admission.fits(choice, remaining, 0, 10)).toBe(earlier.fits(choice, remaining))
      expect(admission.maximumWait(choice, remaining)).toBe(earlier.maximumWait(choice, remaining))
      expect(admission.isWhole(choice)).toBe(false)
    }
  })

  it('lets a task wait at its agent no longer than until its latest start', () => {
    expect(admission.maximumWait(choiceAfter(100), OBJECTIVE_MILLISECONDS)).toBeCloseTo(125)
    expect(latestStartMilliseconds(choiceAfter(100), OBJECTIVE_MILLISECONDS)).toBeCloseTo(125)
  })

  // A quiet entry hears of an agent only every few hundred milliseconds, in which the agent's queue may have drained.
  it('asks an agent rather than refusing by an outdated view, a bounded number of times', () => {
    const choice = choiceAfter(175)
    expect(admission.fits(choice, OBJECTIVE_MILLISECONDS, 0, 101)).toBe(true)
    expect(admission.fits(choice, OBJECTIVE_MILLISECONDS, 3, 101)).toBe(false)
    expect(admission.fits(choice, RUN_MILLISECONDS, 0, 101)).toBe(false)
  })
})

describe('a job that does not fit', () => {
  const missed = {
    choice: choiceAfter(300),
    remainingMilliseconds: OBJECTIVE_MILLISECONDS,
    objectiveMilliseconds: OBJECTIVE_MILLISECONDS,
    waitedMilliseconds: 0,
    hasLostRun: false,
    isCapacityArriving: false
  }
  const admission = new LatestStartAdmission()

  it('releases its capacity at once when others hold what it needs', () => {
    expect(admission.decideMiss(missed)).toBe('release')
    expect(new PatientAdmission().decideMiss(missed)).toBe('wait')
  })

  it('runs late with what others leave free when it had its capacity and lost a run', () => {
    expect(admission.decideMiss({ ...missed, hasLostRun: true })).toBe('late')
  })

  it('waits and then runs late, as before, when idle upstreams would be too slow or their load is unknown', () => {
    const slow = { ...choiceAfter(0), finishMilliseconds: 500 }
    for (const choice of [slow, choiceAfter(10_000), undefined]) {
      expect(admission.decideMiss({ ...missed, choice })).toBe('wait')
      expect(admission.decideMiss({ ...missed, choice, waitedMilliseconds: 100 })).toBe('late')
    }
  })
})
