/** An entry of a run with injected time: the real waiting queues and placement, with messages that take time. */
import { type AdmissionQueue, createAdmissionQueue, type WaitingTask } from '@baobabpost/admission'
import type { AgentIdentity } from '@baobabpost/common'
import { assignWaiting, type Placement, type PlacementEvent } from '@baobabpost/placement'
import type { EventQueue } from './event-queue.js'
import type { ModelAgent } from './model-agent.js'
import type { Arrival, WorkItem } from './workload.js'

const SERVICE = 'desk'
const TICK_MILLISECONDS = 50

/** A finished task as the entry saw it; times in milliseconds. */
export interface FinishedTask {
  readonly item: WorkItem
  readonly agent: AgentIdentity
  readonly succeeded: boolean
  readonly arrivedAt: number
  readonly endedAt: number
  readonly runMilliseconds: number
}

/** What a run records. */
export interface RunRecorder {
  finished: (task: FinishedTask) => void
  refused: (tasks: number) => void
  expired: (tasks: number) => void
  dispatched: () => void
  event: (event: PlacementEvent, now: number) => void
}

/** What an entry of a run needs. */
export interface ModelEntryOptions {
  readonly number: number
  readonly events: EventQueue
  readonly agents: ReadonlyMap<AgentIdentity, ModelAgent>
  readonly placement: Placement
  readonly oneWayMilliseconds: (agent: ModelAgent) => number
  /** Declared run time by template, milliseconds. */
  readonly declaredMilliseconds: (template: string) => number
  readonly deadlineMilliseconds: number
  readonly recorder: RunRecorder
}

/** An entry of a run. */
export interface ModelEntry {
  submit: (arrival: Arrival) => void
  /** A window may have grown at the agent. */
  windowChanged: (agent: ModelAgent) => void
  queue: AdmissionQueue
}

/** Makes an entry of a run. */
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
    const delay = options.oneWayMilliseconds(agent)
    const { identity } = agent.model
    const item = itemOf(task)
    const backlog = queue.length(SERVICE)
    recorder.dispatched()
    events.after(delay, () => {
      agent.setBacklog(options.number, backlog)
      agent.receive({
        entry: options.number,
        urgent: task.urgent,
        workMilliseconds: item.workMilliseconds,
        startBefore: task.startBefore,
        fails: item.fails,
        ended: (result, runMilliseconds) => {
          events.after(delay, () => {
            placement.setWindow(identity, agent.window(options.number))
            placement.recordResult(identity, task, result, runMilliseconds, events.now())
            if (result === 'refused') recorder.expired(1)
            else {
              const succeeded = result === 'succeeded'
              const times = { arrivedAt: task.waitingSince, endedAt: events.now(), runMilliseconds }
              recorder.finished({ item, agent: identity, succeeded, ...times })
            }
            assign()
          })
        }
      })
    })
  }

  function assign (): void {
    const expired = queue.expire(events.now())
    if (expired.length > 0) recorder.expired(expired.length)
    for (const { agent, task } of assignWaiting(queue, placement, SERVICE, events.now())) send(task, agents.get(agent)!)
  }

  function tick (): void {
    queue.setCapacity({ service: SERVICE, slots })
    for (const event of placement.tick(events.now())) recorder.event(event, events.now())
    for (const agent of agents.values()) {
      const backlog = queue.length(SERVICE)
      events.after(options.oneWayMilliseconds(agent), () => { agent.setBacklog(options.number, backlog) })
    }
    assign()
    events.after(TICK_MILLISECONDS, tick)
  }
  events.after(options.number, tick)

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
      if (queue.offer(tasks, now).kind === 'refused') recorder.refused(tasks.length)
      else assign()
    },
    windowChanged: agent => {
      events.after(options.oneWayMilliseconds(agent), () => {
        placement.setWindow(agent.model.identity, agent.window(options.number))
        assign()
      })
    },
    queue
  }
}
