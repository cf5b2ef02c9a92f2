import { describe, expect, it } from 'vitest'
import { createAdmissionQueue, type WaitingTask } from '@baobabpost/admission'
import { type AgentIdentity, createAgentIdentity, createRandom } from '@baobabpost/common'
import { assignWaiting, createPlacement, type Placement, type PlacementEvent } from '@baobabpost/placement'

const NOW = 1_000_000
const NAMES: readonly Placement['name'][] = ['late-binding', 'two-choices', 'round-robin']

let sequence = 0
function taskOf (fields: Partial<WaitingTask> = {}): WaitingTask {
  sequence += 1
  return {
    submission: `job-${sequence}`,
    index: 0,
    customer: 'dakar',
    team: 'lending',
    service: 'desk',
    template: 'checkout',
    urgent: false,
    startBefore: NOW + 600_000,
    waitingSince: NOW,
    expectedMilliseconds: 100,
    excludedAgents: [],
    ...fields
  }
}

interface RunFields {
  readonly template?: string
  readonly milliseconds?: number
  readonly fails?: boolean
}

interface Fleet {
  readonly placement: Placement
  readonly agents: readonly AgentIdentity[]
  /** Runs tasks one after the other at the agent. */
  run: (agent: AgentIdentity, count: number, fields?: RunFields) => void
  now: () => number
  wait: (milliseconds: number) => readonly PlacementEvent[]
}

/** Agents with room for ten tasks each, all of which have succeeded before. */
function fleetOf (name: Placement['name'], count: number, options: { window?: number, proven?: boolean } = {}): Fleet {
  const placement = createPlacement(name, { random: createRandom(5), failureDomain: 'near', prefetchTasks: 2 })
  const agents = Array.from({ length: count }, (_, number) => createAgentIdentity(`agent-${number}`))
  let now = NOW
  for (const [number, identity] of agents.entries()) {
    const failureDomain = number % 2 === 0 ? 'near' : 'far'
    placement.setAgent({ identity, service: 'desk', failureDomain, slots: 8 })
    placement.setWindow(identity, options.window ?? 10)
  }
  const fleet: Fleet = {
    placement,
    agents,
    run: (agent, tasks, { template = 'checkout', milliseconds = 100, fails = false } = {}) => {
      for (let done = 0; done < tasks; done += 1) {
        const task = taskOf({ template })
        placement.recordDispatch(agent, task, now)
        now += milliseconds
        placement.recordResult(agent, task, fails ? 'failed' : 'succeeded', milliseconds, now)
      }
    },
    now: () => now,
    wait: milliseconds => {
      const events: PlacementEvent[] = []
      for (const end = now + milliseconds; now < end;) {
        now += 50
        events.push(...placement.tick(now))
      }
      return events
    }
  }
  if (options.proven !== false) for (const agent of agents) fleet.run(agent, 10)
  return fleet
}

function choose (fleet: Fleet, fields: Partial<WaitingTask> = {}, waiting = 1): AgentIdentity | undefined {
  return fleet.placement.choose(taskOf(fields), fleet.now(), waiting)
}

/** Dispatches tasks until the placement gives no agent any more; returns their number by agent. */
function fill (fleet: Fleet, fields: Partial<WaitingTask> = {}, waiting = 1_000): Map<AgentIdentity, number> {
  const counts = new Map<AgentIdentity, number>()
  for (let count = 0; count < 10_000; count += 1) {
    const task = taskOf(fields)
    const agent = fleet.placement.choose(task, fleet.now(), waiting)
    if (agent === undefined) return counts
    fleet.placement.recordDispatch(agent, task, fleet.now())
    counts.set(agent, (counts.get(agent) ?? 0) + 1)
  }
  throw new Error('the placement never stops')
}

function ejected (events: readonly PlacementEvent[]): AgentIdentity[] {
  return events.filter(event => event.kind === 'ejected').map(event => event.agent)
}

describe.each(NAMES)('placement %s', name => {
  it('never gives an agent more tasks of a job than its window', () => {
    const fleet = fleetOf(name, 4, { window: 6 })
    const counts = fill(fleet)
    expect(Math.max(...counts.values())).toBeLessThanOrEqual(6)
    // Late binding still has room for urgent tasks.
    expect(fleet.placement.hasFreeCapacity('desk', fleet.now())).toBe(name === 'late-binding')
  })

  it('gives nothing to an agent that was removed, and room again when tasks end', () => {
    const fleet = fleetOf(name, 2, { window: 1 })
    const [gone, left] = fleet.agents
    fleet.placement.removeAgent(gone!)
    const task = taskOf()
    expect(fleet.placement.choose(task, fleet.now(), 1)).toBe(left)
    fleet.placement.recordDispatch(left!, task, fleet.now())
    expect(choose(fleet)).toBeUndefined()
    fleet.placement.recordResult(left!, task, 'refused', 0, fleet.now())
    expect(choose(fleet)).toBe(left)
  })

  it('avoids excluded agents while there are others', () => {
    const fleet = fleetOf(name, 2)
    for (let repeat = 0; repeat < 20; repeat += 1) {
      expect(choose(fleet, { excludedAgents: [fleet.agents[0]!] })).toBe(fleet.agents[1])
    }
    expect(choose(fleet, { excludedAgents: [...fleet.agents] })).toBeDefined()
  })

  it('ejects a worker that fails everything after three failures, and limits it after the first', () => {
    const fleet = fleetOf(name, 6)
    const [bad] = fleet.agents
    fleet.run(bad!, 1, { milliseconds: 5, fails: true })
    expect(fill(fleet).get(bad!) ?? 0).toBeLessThanOrEqual(1)
    fleet.run(bad!, 2, { milliseconds: 5, fails: true })
    expect(ejected(fleet.wait(50))).toEqual([bad])
  })

  it('ejects no one for a job that can never run', () => {
    const fleet = fleetOf(name, 6)
    const events: PlacementEvent[] = []
    for (let round = 0; round < 50; round += 1) {
      for (const agent of fleet.agents) fleet.run(agent, 2, { template: 'impossible', milliseconds: 5, fails: true })
      for (const agent of fleet.agents) fleet.run(agent, 1)
      events.push(...fleet.wait(50))
    }
    expect(events).toEqual([])
    expect(fleet.agents).toContain(choose(fleet))
  })

  it('never ejects more than a third, and never the only agent', () => {
    const fleet = fleetOf(name, 6)
    for (const agent of fleet.agents) fleet.run(agent, 5, { milliseconds: 5, fails: true })
    expect(ejected(fleet.wait(50)).length).toBeLessThanOrEqual(2)
    const single = fleetOf(name, 1)
    single.run(single.agents[0]!, 20, { milliseconds: 5, fails: true })
    expect(single.wait(50)).toEqual([])
    expect(choose(single)).toBe(single.agents[0])
  })

  it('probes an ejected worker with single tasks and lets it return', () => {
    const fleet = fleetOf(name, 3)
    const [bad] = fleet.agents
    fleet.run(bad!, 3, { milliseconds: 5, fails: true })
    expect(ejected(fleet.wait(50))).toEqual([bad])
    expect(fill(fleet).has(bad!)).toBe(false)
    const events = fleet.wait(6_000)
    expect(events.filter(event => event.agent === bad).map(event => event.kind)).toEqual(['probing'])
    expect(fill(fleet).get(bad!)).toBe(1)
  })

  it('lets a probed worker return after probes that succeed', () => {
    const fleet = fleetOf(name, 3)
    const [bad] = fleet.agents
    fleet.run(bad!, 3, { milliseconds: 5, fails: true })
    fleet.wait(6_000)
    fleet.run(bad!, 2)
    expect(fleet.wait(50).map(event => event.kind)).toEqual(['returned'])
    expect(fill(fleet).get(bad!)).toBeGreaterThan(1)
  })

  it('ejects a worker whose tasks hang within two seconds', () => {
    const fleet = fleetOf(name, 4)
    const [hung] = fleet.agents
    for (let count = 0; count < 8; count += 1) fleet.placement.recordDispatch(hung!, taskOf(), fleet.now())
    expect(ejected(fleet.wait(2_000))).toEqual([hung])
  })

  it('ejects a straggler at a tenth of its speed within two seconds of work', () => {
    const fleet = fleetOf(name, 4)
    const [slow] = fleet.agents
    const tasks = Array.from({ length: 8 }, () => taskOf())
    for (const task of tasks) fleet.placement.recordDispatch(slow!, task, fleet.now())
    const early = ejected(fleet.wait(1_000))
    for (const task of tasks) fleet.placement.recordResult(slow!, task, 'succeeded', 1_000, fleet.now())
    expect(early.concat(ejected(fleet.wait(1_000)))).toEqual([slow])
  })

  it('ejects no one when the whole service is slow', () => {
    const fleet = fleetOf(name, 4)
    for (const agent of fleet.agents) {
      for (let count = 0; count < 8; count += 1) fleet.placement.recordDispatch(agent, taskOf(), fleet.now())
    }
    expect(fleet.wait(3_000)).toEqual([])
  })

  it('gives a new agent a part of its window until a task succeeded there', () => {
    const fleet = fleetOf(name, 2, { proven: false })
    const counts = fill(fleet)
    expect(Math.max(...counts.values())).toBeLessThanOrEqual(3)
  })

  it('learns run times whatever was declared', () => {
    const fleet = fleetOf(name, 2)
    fleet.run(fleet.agents[0]!, 50, { template: 'report', milliseconds: 400 })
    expect(fleet.placement.expectedMilliseconds('report')).toBeGreaterThan(300)
    expect(fleet.placement.expectedMilliseconds('report')).toBeLessThan(500)
    expect(fleet.placement.expectedMilliseconds('unseen')).toBeUndefined()
  })
})

describe('late binding', () => {
  it('prefers the faster agent, and near ones among equals', () => {
    const fleet = fleetOf('late-binding', 4)
    expect(choose(fleet)).toSatisfy((agent: AgentIdentity) => fleet.agents.indexOf(agent) % 2 === 0)
    fleet.run(fleet.agents[3]!, 60, { milliseconds: 25 })
    expect(choose(fleet)).toBe(fleet.agents[3])
  })

  it('leaves a slow agent idle while a fast one should be free sooner, but not when many tasks wait', () => {
    const fleet = fleetOf('late-binding', 2, { window: 8 })
    const [fast, slow] = fleet.agents
    fleet.run(slow!, 100, { milliseconds: 400 })
    for (let count = 0; count < 8; count += 1) fleet.placement.recordDispatch(fast!, taskOf(), fleet.now())
    expect(choose(fleet, {}, 1)).toBeUndefined()
    expect(choose(fleet, {}, 500)).toBe(slow)
  })

  it('lets an urgent task go ahead of the waiting ones at a full agent, a job not', () => {
    const fleet = fleetOf('late-binding', 3, { window: 4 })
    fill(fleet)
    expect(choose(fleet, { urgent: true })).toBeDefined()
    expect(choose(fleet)).toBeUndefined()
  })

  it('sends urgent tasks ahead also when a short stall let several of them wait', () => {
    const fleet = fleetOf('late-binding', 3, { window: 4 })
    fill(fleet)
    expect(choose(fleet, { urgent: true }, 6)).toBeDefined()
    expect(choose(fleet, { urgent: true }, 100)).toBeUndefined()
  })

  it('moves the expectation by little when declarations are off by ten', () => {
    const picks = [0.1, 1, 10].map(factor => {
      const fleet = fleetOf('late-binding', 4)
      fleet.run(fleet.agents[2]!, 60, { milliseconds: 25 })
      return fleet.agents.indexOf(choose(fleet, { expectedMilliseconds: 100 * factor })!)
    })
    expect(picks).toEqual([2, 2, 2])
  })
})

describe('assigning waiting tasks', () => {
  it('does not starve jobs under endless urgent tasks', () => {
    const fleet = fleetOf('late-binding', 2)
    const queue = createAdmissionQueue()
    queue.offer(Array.from({ length: 500 }, (_, index) => taskOf({ submission: 'job', index })), NOW)
    const open: Array<{ agent: AgentIdentity, task: WaitingTask }> = []
    let jobs = 0
    for (let round = 0; round < 200; round += 1) {
      for (let count = 0; count < 40; count += 1) queue.offer([taskOf({ urgent: true })], NOW)
      const assigned = assignWaiting(queue, fleet.placement, 'desk', fleet.now())
      open.push(...assigned)
      jobs += assigned.filter(({ task }) => !task.urgent).length
      fleet.wait(100)
      for (const { agent, task } of open.splice(0, 8)) {
        fleet.placement.recordResult(agent, task, 'succeeded', 100, fleet.now())
      }
    }
    // Jobs are owed a tenth of about 1,600 tasks.
    expect(jobs).toBeGreaterThanOrEqual(100)
  })
})
