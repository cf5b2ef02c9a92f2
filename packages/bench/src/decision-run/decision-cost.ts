/** Measures the processor time per task of the admission queue and the placement, with many teams and agents. */
import { createAdmissionQueue, type WaitingTask } from '@baobabpost/admission'
import { createAgentIdentity, createRandom } from '@baobabpost/common'
import { assignWaiting, createPlacement, type Placement } from '@baobabpost/placement'

const START_TIME = 1_700_000_000_000
const SERVICE = 'desk'
const RUN_MILLISECONDS = 100

export interface DecisionCostOptions {
  readonly placement: Placement['name']
  readonly teams: number
  readonly agents: number
  readonly tasksPerBatch: number
  readonly batches: number
}

function createTasks (options: DecisionCostOptions, batch: number, now: number): WaitingTask[] {
  const team = batch % options.teams
  return Array.from({ length: options.tasksPerBatch }, (_, index) => ({
    submission: `job-${batch}`,
    index,
    customer: `customer-${team}`,
    team: `team-${team}`,
    service: SERVICE,
    template: 'checkout',
    urgent: false,
    startBefore: now + 60_000,
    waitingSince: now,
    expectedMilliseconds: RUN_MILLISECONDS,
    excludedAgents: []
  }))
}

/**
 * Measures the processor time per task for queueing, assignment and recording of the result, in microseconds.
 *
 * @example
 * measureDecisionCost({ placement: 'late-binding', teams: 510, agents: 12, tasksPerBatch: 200, batches: 2_000 })
 */
export function measureDecisionCost (options: DecisionCostOptions): number {
  const queue = createAdmissionQueue({ maximumQueuedTasks: 1_000_000 })
  const random = createRandom(1)
  const placement = createPlacement(options.placement, { random, failureDomain: 'near', prefetchTasks: 2 })
  for (let number = 0; number < options.agents; number += 1) {
    const identity = createAgentIdentity(`agent-${number}`)
    placement.setAgent({ identity, service: SERVICE, failureDomain: 'near', slots: options.tasksPerBatch })
    placement.setWindow(identity, options.tasksPerBatch)
  }
  let now = START_TIME
  // Every team keeps a backlog, so that assignment has to apply the shares of all teams.
  for (let team = 0; team < options.teams; team += 1) queue.offer(createTasks(options, team, now), now)
  const usageBefore = process.cpuUsage()
  let finishedTaskCount = 0
  for (let batch = 0; batch < options.batches; batch += 1) {
    now += RUN_MILLISECONDS
    queue.offer(createTasks(options, options.teams + batch, now), now)
    const assignments = assignWaiting(queue, placement, SERVICE, now)
    for (const { agent, task } of assignments) {
      placement.recordResult(agent, task, 'succeeded', RUN_MILLISECONDS, now + RUN_MILLISECONDS)
    }
    queue.expire(now)
    placement.tick(now)
    finishedTaskCount += assignments.length
  }
  const usage = process.cpuUsage(usageBefore)
  return (usage.user + usage.system) / finishedTaskCount
}
