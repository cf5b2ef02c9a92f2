/** Measures what the error budget burn report costs an entry for each answer and for each objective. */
import { createBurnRecorder, MINUTE_MILLISECONDS } from '@baobabpost/burn-report'
import { createEntryIdentity } from '@baobabpost/common'
import type { Objective } from '@baobabpost/messages'
import type { CostPoint } from '../fit-slope.js'
import { measureMinimum, measureMicroseconds } from '../measure.js'
import type { ProbeResult } from '../probe.js'

const START_TIME = Date.UTC(2026, 0, 1)
const ANSWERS_PER_OBJECTIVE = 60
const REPETITIONS = 3

function createObjective (number: number): Objective {
  return {
    name: `customer-${number}-response`,
    service: 'lending',
    customer: `customer-${number}`,
    indicator: 'response',
    boundMilliseconds: 1_000,
    target: 0.99
  }
}

/** Records answers; every twentieth exceeds the response bound of 1 s. */
function recordAnswers (recorder: ReturnType<typeof createBurnRecorder>, answers: number, customers: number): void {
  for (let answer = 0; answer < answers; answer += 1) {
    recorder.record({
      service: 'lending',
      customer: `customer-${answer % customers}`,
      responseMilliseconds: answer % 20 === 0 ? 1_500 : 50 + answer % 700,
      upstream: 'agent-1'
    }, START_TIME)
  }
}

function createRecorder (objectives: number): ReturnType<typeof createBurnRecorder> {
  const recorder = createBurnRecorder({ entry: createEntryIdentity('entry-1'), startedAt: START_TIME })
  recorder.setObjectives(Array.from({ length: objectives }, (_, number) => createObjective(number)))
  return recorder
}

function measureAnswers (answers: number): CostPoint {
  const cost = measureMinimum(REPETITIONS, () => {
    const recorder = createRecorder(10)
    return measureMicroseconds(() => { recordAnswers(recorder, answers, 10) })
  })
  return { size: answers, cost }
}

function measureBucket (objectives: number): { bytes: CostPoint, time: CostPoint } {
  const recorder = createRecorder(objectives)
  recordAnswers(recorder, objectives * ANSWERS_PER_OBJECTIVE, objectives)
  let bytes = 0
  const cost = measureMicroseconds(() => {
    bytes = JSON.stringify(recorder.takeClosed(START_TIME + MINUTE_MILLISECONDS)).length
  })
  return { bytes: { size: objectives, cost: bytes }, time: { size: objectives, cost } }
}

/** Measures recording an answer, and closing and encoding the one-minute bucket. */
export function probeBurn (): Promise<readonly ProbeResult[]> {
  measureAnswers(50_000)
  measureBucket(100)
  const buckets = [50, 100, 200, 400].map(measureBucket)
  return Promise.resolve([
    { per: 'answer', cost: 'burn: microseconds to count it', points: [20_000, 40_000, 80_000, 160_000].map(measureAnswers) },
    { per: 'objective', cost: 'burn: microseconds a minute to close its bucket', points: buckets.map(result => result.time) },
    { per: 'objective', cost: 'burn: bytes a minute on the log', points: buckets.map(result => result.bytes) }
  ])
}
