import { beforeEach, expect, it } from 'vitest'
import { silentLogger } from '@baobabpost/common'
import { createDispatcher, type Dispatcher, type JobAnswer } from '@baobabpost/dispatching'
import type { Start, StartAnswer, UpstreamProfile } from '@baobabpost/fleet-calls'

const CAPACITY = { processor: 60_000, memory: 65_536, accelerators: 0 }
/** After the time in which an entry that has just started may not know all upstreams. */
const LONG_AFTER_START = 5_000

type AgentView = NonNullable<ReturnType<Dispatcher['agentFound']>>

let starts: Array<{ readonly view: AgentView, readonly start: Start }>
let answers: JobAnswer[]
let dispatcher: Dispatcher

function answerOf (clock: number, labels: readonly string[], fields: Partial<UpstreamProfile> = {}): StartAnswer {
  return {
    incarnation: '1',
    clock,
    cleared: true,
    room: { free: CAPACITY, waiting: [], releaseRate: 0, slowness: 1, failureShare: 0 },
    profile: {
      version: clock, service: 'desk', failureDomain: 'a', capacity: CAPACITY, labels, accepting: true, ...fields
    },
    verdicts: []
  }
}

function hear (number: number, labels: readonly string[], fields?: Partial<UpstreamProfile>): void {
  const view = dispatcher.agentFound(`agent-${number}`, `10.1.0.${number}:7720`)
  if (view === undefined) throw new Error('expected a view of the new agent')
  dispatcher.watchAnswered(view, { ...answerOf(1, labels, fields), reports: [] }, LONG_AFTER_START - 10)
}

function submit (): void {
  dispatcher.submit({
    id: '0000000000000001',
    route: 'route',
    service: 'desk',
    priority: 0,
    specification: '{}',
    steps: [{
      taskCount: 1,
      size: { processor: 1_000, memory: 64, accelerators: 0 },
      estimateMilliseconds: 100,
      dependsOn: [],
      label: 'a',
      rack: undefined,
      maximumPerUpstream: undefined
    }],
    maximumAttempts: 2,
    stretch: 1.6,
    targetLatencyMilliseconds: 60,
    arrivedAt: LONG_AFTER_START,
    deadlineAt: LONG_AFTER_START + 3_000
  }, answer => { answers.push(answer) }, LONG_AFTER_START)
}

/** Answers the only start with the verdict of an agent whose upstream has another label by now. */
function refuseStart (): void {
  const [sent] = starts
  if (sent === undefined) throw new Error('expected a start')
  dispatcher.startAnswered(sent.view, sent.start, { ...answerOf(100, ['b']), verdicts: ['unsuitable'] }, LONG_AFTER_START + 10)
  dispatcher.tick(LONG_AFTER_START + 20)
}

beforeEach(() => {
  starts = []
  answers = []
  dispatcher = createDispatcher({
    entry: 'entry-1',
    incarnation: '1',
    failureDomain: 'a',
    logger: silentLogger,
    sendStart: (view, start) => { starts.push({ view, start }) },
    sendStop: () => {}
  })
  for (let now = 0; now < LONG_AFTER_START; now += 200) dispatcher.tick(now)
  dispatcher.tick(LONG_AFTER_START - 20)
})

it('states with an order which service and label it requires', () => {
  hear(1, ['a'])
  submit()
  expect(starts[0]?.start).toMatchObject({ service: 'desk', orders: [{ label: 'a' }] })
})

// Without the profile in the answer, the entry would send the task there again until a watch is answered.
it('sends a task that an agent calls unsuitable to another upstream at once', () => {
  hear(1, ['a'])
  hear(2, ['a'])
  submit()
  refuseStart()
  expect(starts).toHaveLength(2)
  expect(starts[1]?.view).not.toBe(starts[0]?.view)
  expect(answers).toEqual([])
})

// It waited for a fifth of its objective, although no upstream had the label.
it('refuses a job as not run at once if no upstream has its label any more', () => {
  hear(1, ['a'])
  hear(2, ['b'])
  submit()
  refuseStart()
  expect(starts).toHaveLength(1)
  expect(answers).toMatchObject([{ kind: 'refused', reason: 'no upstream of its service has the required label' }])
})

// A late job waited for three objectives for an upstream that was another one by then.
it('refuses a late job that waits for room once no upstream has its label any more', () => {
  hear(1, ['a'], { accepting: false })
  submit()
  for (let now = LONG_AFTER_START; now < LONG_AFTER_START + 200; now += 20) dispatcher.tick(now)
  expect(answers).toEqual([])
  const [view] = dispatcher.agents()
  if (view === undefined) throw new Error('expected a view of the agent')
  dispatcher.watchAnswered(view, { ...answerOf(300, ['b']), reports: [] }, LONG_AFTER_START + 200)
  dispatcher.tick(LONG_AFTER_START + 220)
  expect(answers).toMatchObject([{ kind: 'refused', reason: 'no upstream of its service has the required label' }])
})

it('lets such a job wait while an upstream is being started, whose labels are not known yet', () => {
  hear(1, ['a'])
  hear(2, [], { service: '', accepting: false })
  submit()
  refuseStart()
  expect(answers).toEqual([])
})
