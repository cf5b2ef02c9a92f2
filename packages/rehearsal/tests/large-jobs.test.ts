import { afterAll, beforeAll, describe, expect, it } from 'vitest'
import { createScriptedAgents, PLAIN_STEP, type RunTurn, type ScriptedAgents } from '@baobabpost/rehearsal'
import type { JobStep } from '@baobabpost/dispatching'
import { createStepCounter, type StepCounter } from './step-count.js'

const ID = '5c0e7a21d94b36f8'
const CAPACITY = { processor: 200_000, memory: 200_000, accelerators: 0 }
const SMALL = 50
const LARGE = 400
/** Largest ratio of the steps a task of a large job to those of a small one. */
const MAXIMUM_GROWTH = 1.5

let counter: StepCounter
beforeAll(() => { counter = createStepCounter() })
afterAll(() => { counter.close() })

/** Steps of the calls of a play, in total and of the longest call. */
interface PlayedSteps {
  readonly total: number
  readonly longest: number
  readonly longestName: string
}

/** Plays a script against a dispatcher and counts its steps. */
function playSteps (agentCount: number, script: (agents: ScriptedAgents) => void): PlayedSteps {
  let total = 0
  let longest = 0
  let longestName = ''
  const runTurn: RunTurn = (name, turn) => {
    const steps = counter.count(turn)
    total += steps
    if (steps <= longest) return
    longest = steps
    longestName = name
  }
  script(createScriptedAgents({ agents: agentCount, capacity: CAPACITY, runTurn }))
  return { total, longest, longestName }
}

/** Ends all runs as done, a few in each answer of an agent, until the job is answered. */
function finish (agents: ScriptedAgents, from: number): void {
  for (let now = from; agents.answers.length === 0 && now < from + 20_000; now += 20) {
    agents.acceptStarts(now)
    for (const name of agents.names()) agents.endRuns(name, 'done', 10, now + 5)
    agents.tick(now + 10)
  }
  expect(agents.answers).toEqual([{ kind: 'completed' }])
}

function plainSteps (tasks: number): JobStep[] {
  return [{ ...PLAIN_STEP, taskCount: tasks }]
}

/** A quarter of the tasks in steps of one, and a last step that depends on all of them. */
function fannedInSteps (tasks: number): JobStep[] {
  const first = Array.from({ length: tasks / 4 }, () => PLAIN_STEP)
  return [...first, { ...PLAIN_STEP, taskCount: tasks - first.length, dependsOn: first.map((_, number) => number) }]
}

function expectGrowth (play: (tasks: number) => PlayedSteps): void {
  const small = play(SMALL)
  const large = play(LARGE)
  expect(large.total / LARGE).toBeLessThan(MAXIMUM_GROWTH * small.total / SMALL)
}

describe('the work of an entry for a job', () => {
  it('grows with its tasks and no faster', () => {
    expectGrowth(tasks => playSteps(8, agents => {
      agents.submit({ id: ID, steps: plainSteps(tasks) }, 0)
      finish(agents, 10)
    }))
  })

  // An entry answered nobody for 40 s: each completed task looked through all tasks of the job for each dependency of
  // each blocked one.
  it('grows with its tasks and no faster if a step depends on many others', () => {
    expectGrowth(tasks => playSteps(8, agents => {
      agents.submit({ id: ID, steps: fannedInSteps(tasks) }, 0)
      finish(agents, 10)
    }))
  })

  // An entry answered nobody for 28 s: each task that was at a crashed upstream was planned by a look at all assigned
  // ones, each with all tasks of the crash.
  it('grows with its tasks and no faster if an upstream crashes under them', () => {
    expectGrowth(tasks => playSteps(8, agents => {
      agents.submit({ id: ID, steps: plainSteps(tasks) }, 0)
      agents.acceptStarts(10)
      agents.crash('agent-1', 20)
      finish(agents, 40)
    }))
  })
})
