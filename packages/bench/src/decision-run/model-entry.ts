/** A simulated entry: the production queue and placement, with delayed messages to and from the agents. */
import { type AdmissionQueue, createAdmissionQueue, type WaitingTask } from '@baobabpost/admission'
import type { AgentIdentity } from '@baobabpost/common'
import { assignWaiting, type Placement, type PlacementEvent } from '@baobabpost/placement'
import type { EventQueue } from './event-queue.js'
import type { ModelAgent } from './model-agent.js'
import type { Arrival, WorkItem } from './workload.js'

const SERVICE = 'desk'
const TICK_MILLISECONDS = 50

/** A finished task as seen by its entry; times are Unix times in milliseconds. */
export interface FinishedTask {
  readonly item: WorkItem
  readonly agent: AgentIdentity
  readonly succeeded: boolean
  readonly arrivedAt: number
  readonly endedAt: number
  readonly runMilliseconds: number
}

export interface RunRecorder {
  recordFinished: (task: FinishedTask) => void
  recordRefused: (tasks: number) => void
  recordExpired: (tasks: number) => void
  recordDispatched: () => void
  recordEvent: (event: PlacementEvent, now: number) => void
}

export interface ModelEntryOptions {
  readonly number: number
  readonly events: EventQueue
  readonly agents: ReadonlyMap<AgentIdentity, ModelAgent>
  readonly placement: Placement
  readonly oneWayDelayMilliseconds: (agent: ModelAgent) => number
  /** Returns the declared run time of a template, in milliseconds. */
  readonly declaredMilliseconds: (template: string) => number
  readonly deadlineMilliseconds: number
  readonly recorder: RunRecorder
}

export interface ModelEntry {
  submit: (arrival: Arrival) => void
  /** Called when the dispatch window of this entry at an agent may have grown. */
  handleWindowChange: (agent: ModelAgent) => void
  queue: AdmissionQueue
}

export function createModelEntry (options: ModelEntryOptions): ModelEntry {
  const { events, agents, placement, recorder } = options
  const queue = createAdmissionQueue()
  const items = new Map<string, readonly WorkItem[]>()
  let slots = 0

  for (const agent of agents.values()) {
    const { identity, failureDomain } = agent.model
    placement.setAgent({ identity, service: SERVICE, failureDomain, slots: agent.model.slots })
    placement.setWindow(identity, agent.window(options.number))
    slots += agent.model.slots
  }

  function expectedMilliseconds (template: string): number {
    return placement.expectedMilliseconds(template) ?? options.declaredMilliseconds(template)
  }

  function itemOf (task: WaitingTask): WorkItem {
    return items.get(task.submission)![task.index]!
  }

  function send (task: WaitingTask, agent: ModelAgent): void {
    const delay = options.oneWayDelayMilliseconds(agent)
    const { identity } = agent.model
    const item = itemOf(task)
    const backlog = queue.length(SERVICE)
    recorder.recordDispatched()
    events.schedule(delay, () => {
      agent.setBacklog(options.number, backlog)
      agent.receive({
        entry: options.number,
        urgent: task.urgent,
        workMilliseconds: item.workMilliseconds,
        startBefore: task.startBefore,
        isFailing: item.isFailing,
        onResult: (result, runMilliseconds) => {
          events.schedule(delay, () => {
            placement.setWindow(identity, agent.window(options.number))
            placement.recordResult(identity, task, result, runMilliseconds, events.now())
            if (result === 'refused') recorder.recordExpired(1)
            else {
              const succeeded = result === 'succeeded'
              const times = { arrivedAt: task.waitingSince, endedAt: events.now(), runMilliseconds }
              recorder.recordFinished({ item, agent: identity, succeeded, ...times })
            }
            assignTasks()
          })
        }
      })
    })
  }

  function assignTasks (): void {
    const expired = queue.expire(events.now())
    if (expired.length > 0) recorder.recordExpired(expired.length)
    for (const { agent, task } of assignWaiting(queue, placement, SERVICE, events.now())) send(task, agents.get(agent)!)
  }

  function tick (): void {
    queue.setCapacity({ service: SERVICE, slots })
    for (const event of placement.tick(events.now())) recorder.recordEvent(event, events.now())
    for (const agent of agents.values()) {
      const backlog = queue.length(SERVICE)
      events.schedule(options.oneWayDelayMilliseconds(agent), () => { agent.setBacklog(options.number, backlog) })
    }
    assignTasks()
    events.schedule(TICK_MILLISECONDS, tick)
  }
  events.schedule(options.number, tick)

  return {
    submit: arrival => {
      const now = events.now()
      items.set(arrival.submission, arrival.items)
      const tasks = arrival.items.map((item, index): WaitingTask => ({
        submission: arrival.submission,
        index,
        customer: `customer-${arrival.customer}`,
        team: `team-${arrival.customer}`,
        service: SERVICE,
        template: item.template,
        urgent: item.urgent,
        startBefore: now + options.deadlineMilliseconds,
        waitingSince: now,
        expectedMilliseconds: expectedMilliseconds(item.template),
        excludedAgents: []
      }))
      if (queue.offer(tasks, now).kind === 'refused') recorder.recordRefused(tasks.length)
      else assignTasks()
    },
    handleWindowChange: agent => {
      events.schedule(options.oneWayDelayMilliseconds(agent), () => {
        placement.setWindow(agent.model.identity, agent.window(options.number))
        assignTasks()
      })
    },
    queue
  }
}
