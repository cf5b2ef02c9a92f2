import { afterAll, beforeAll, describe, expect, it } from 'vitest'
import { createScriptedAgents, PLAIN_STEP, type RunTurn, type ScriptedAgents } from '@baobabpost/rehearsal'
import type { AgentView, JobStep } from '@baobabpost/dispatching'
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

function viewOf (agents: ScriptedAgents, name: string): AgentView {
  for (const view of agents.dispatcher.agents()) if (view.name === name) return view
  throw new Error(`no agent ${name}`)
}

/** Steps of the calls of a play, in total and of the longest call. */
interface PlayedSteps {
  readonly total: number
  readonly longest: number
}

/** Plays a script against a dispatcher and counts its steps. */
function playSteps (agentCount: number, script: (agents: ScriptedAgents) => void): PlayedSteps {
  let total = 0
  let longest = 0
  const runTurn: RunTurn = (_name, turn) => {
    const steps = counter.count(turn)
    total += steps
    longest = Math.max(longest, steps)
  }
  script(createScriptedAgents({ agents: agentCount, capacity: CAPACITY, runTurn }))
  return { total, longest }
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

/** Sends a plain job, and crashes the upstream that has got most of its tasks. */
function crashUnderJob (agents: ScriptedAgents, tasks: number): void {
  agents.submit({ id: ID, steps: plainSteps(tasks) }, 0)
  const now = agents.acceptAll(tasks, 10)
  agents.crash(agents.busiest(), now)
  finish(agents, now + 20)
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
    expectGrowth(tasks => playSteps(8, agents => { crashUnderJob(agents, tasks) }))
  })
})

describe('a turn of the event loop of an entry', () => {
  /** Numbers of tasks that both take several turns. */
  const SEVERAL_TURNS = 500
  const MANY_TURNS = 2_000

  // A job of 2,000 tasks was planned and sent in one turn, in which the entry answered nobody.
  it.each([
    ['a plain job', plainSteps], ['a step that depends on many others', fannedInSteps]
  ])('is not longer for a larger job: %s', (_name, stepsOf) => {
    const longestOf = (tasks: number): number => playSteps(8, agents => {
      agents.submit({ id: ID, steps: stepsOf(tasks) }, 0)
      finish(agents, 10)
    }).longest
    expect(longestOf(MANY_TURNS)).toBeLessThan(MAXIMUM_GROWTH * longestOf(SEVERAL_TURNS))
  })

  it('is not longer for a larger job if an upstream crashes under it', () => {
    const longestOf = (tasks: number): number => playSteps(8, agents => { crashUnderJob(agents, tasks) }).longest
    expect(longestOf(MANY_TURNS)).toBeLessThan(MAXIMUM_GROWTH * longestOf(SEVERAL_TURNS))
  })

  it('is not longer for a larger job in a large fleet', () => {
    const longestOf = (tasks: number): number => playSteps(160, agents => {
      agents.submit({ id: ID, steps: plainSteps(tasks) }, 0)
      for (let now = 10; now < 2_000; now += 20) {
        agents.acceptStarts(now)
        agents.tick(now + 10)
      }
    }).longest
    expect(longestOf(MANY_TURNS)).toBeLessThan(MAXIMUM_GROWTH * longestOf(SEVERAL_TURNS))
  })

  it.each(['leaves', 'starts again'] as const)('keeps nothing planned for an agent that %s before the next', change => {
    const agents = createScriptedAgents({ agents: 8, capacity: CAPACITY })
    agents.submit({ id: ID, steps: plainSteps(MANY_TURNS) }, 0)
    const planned = agents.names().filter(name => viewOf(agents, name).unconfirmedSize.processor > 0)
    for (const name of planned) agents.change(name, change, 10)
    expect(planned.length).toBeGreaterThan(0)
    for (let now = 20; now < 600; now += 20) {
      agents.tick(now)
      agents.acceptStarts(now + 10)
    }
    if (change === 'leaves') for (const name of planned) expect(agents.runningCount(name)).toBe(0)
    finish(agents, 600)
    for (const name of agents.names()) expect(viewOf(agents, name).unconfirmedSize.processor).toBe(0)
  })

  // Each answer of an agent was followed by a pass over the waiting jobs, however long the pass took.
  it('has one pass over the waiting jobs, however many answers are read in it', () => {
    let requests = 0
    const agents = createScriptedAgents({
      agents: 20, capacity: CAPACITY, requestPass: () => { requests += 1 }
    })
    for (let number = 0; number < 40; number += 1) {
      agents.submit({ id: `5c0e7a21d94b3${600 + number}`, steps: plainSteps(4_000) }, 0)
    }
    agents.acceptStarts(10)
    agents.dispatcher.assign(20)
    requests = 0
    const stepsOfAnswers = (now: number): number => counter.count(() => { agents.answerWatches(now) })
    const withPass = stepsOfAnswers(100)
    expect(requests).toBeGreaterThan(0)
    expect(stepsOfAnswers(200)).toBeLessThan(withPass / 2)
    agents.dispatcher.assign(300)
    expect(stepsOfAnswers(400)).toBeGreaterThan(withPass / 2)
  })
})
