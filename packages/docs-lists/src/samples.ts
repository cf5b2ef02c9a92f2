/** Invented data of a small fleet, from which the sample reports in the docs are generated. */
import type { AgentIdentity, EntryIdentity, SubmissionKey } from '@baobabpost/common'
import type { BurnBucket, Explanation, FleetAgent, FleetStatus, Objective } from '@baobabpost/messages'
import { createBurnRecorder, HOUR_MILLISECONDS, mergeBuckets, MINUTE_MILLISECONDS } from '@baobabpost/burn-report'

/** Unix time of all samples, in milliseconds. */
export const SAMPLE_TIME = Date.UTC(2026, 11, 1, 12, 0, 20)

const ENTRIES = ['entry-1', 'entry-2', 'entry-3'].map((name, index) =>
  `${name}@0198c0de-0000-7000-8000-00000000000${index + 1}` as EntryIdentity)
const AGENTS = ['lending-1', 'lending-2', 'lending-3'].map((name, index) =>
  `${name}@0198c0de-0000-7000-8000-00000000001${index + 1}` as AgentIdentity)
const [FIRST_ENTRY] = ENTRIES as [EntryIdentity]
const [FIRST_AGENT, SECOND_AGENT, THIRD_AGENT] = AGENTS as [AgentIdentity, AgentIdentity, AgentIdentity]

export const SAMPLE_OBJECTIVES: readonly Objective[] = [
  {
    name: 'counter-response',
    service: 'lending',
    customer: '*',
    indicator: 'response',
    boundMilliseconds: 1_000,
    target: 0.99
  },
  { name: 'lending-whole', service: 'lending', customer: '*', indicator: 'whole', boundMilliseconds: 0, target: 0.999 }
]

const SAMPLE_HOURS = 20
const ANSWERS_PER_MINUTE = 60
const SLOW_HOUR = 14

/** Records the answers of one minute. In the slow hour every tenth answer is late. */
function recordMinute (recorder: ReturnType<typeof createBurnRecorder>, start: number, hour: number): void {
  for (let answer = 0; answer < ANSWERS_PER_MINUTE; answer += 1) {
    const isLate = hour === SLOW_HOUR && answer % 10 === 0
    recorder.record({
      service: 'lending',
      customer: answer % 3 === 0 ? 'medina' : 'pikine',
      responseMilliseconds: isLate ? 1_800 : 80 + answer,
      upstream: isLate ? 'lending-3' : 'lending-1'
    }, start + answer * 100)
  }
}

/**
 * Returns the buckets of one entry that started 20 hours ago. Two hours are missing, as after a lost connection to the
 * log. In each of the last four minutes one request is not run.
 */
export function sampleBuckets (): BurnBucket[] {
  const end = SAMPLE_TIME - 20_000
  const startedAt = end - SAMPLE_HOURS * HOUR_MILLISECONDS
  const recorder = createBurnRecorder({ entry: FIRST_ENTRY, startedAt })
  recorder.setObjectives(SAMPLE_OBJECTIVES)
  const buckets: BurnBucket[] = []
  for (let hour = 0; hour < SAMPLE_HOURS; hour += 1) {
    const hourStart = startedAt + hour * HOUR_MILLISECONDS
    const minutes: BurnBucket[] = []
    for (let minute = 0; minute < 60; minute += 1) {
      const start = hourStart + minute * MINUTE_MILLISECONDS
      recordMinute(recorder, start, hour)
      if (hour === SAMPLE_HOURS - 1 && minute > 55) {
        recorder.record({ service: 'lending', customer: 'medina', responseMilliseconds: 5, errorKind: 'not-run' }, start + 7_000)
      }
      minutes.push(...recorder.takeClosed(start + MINUTE_MILLISECONDS))
    }
    if (hour === 8 || hour === 9) continue
    const [first, ...others] = minutes
    if (first !== undefined) buckets.push(mergeBuckets([first, ...others], hourStart, HOUR_MILLISECONDS))
    if (hour >= SAMPLE_HOURS - 2) buckets.push(...minutes)
  }
  return buckets
}

/** The entry whose buckets `sampleBuckets` returns. */
export const SAMPLE_ENTRY = FIRST_ENTRY

const SAMPLE_AGENTS: readonly FleetAgent[] = [
  { identity: FIRST_AGENT, address: '10.0.1.1:7101', service: 'lending', failureDomain: 'dakar-a', standing: 'usable', slots: 8, window: 4, unfinished: 3, speed: 1.31 },
  { identity: SECOND_AGENT, address: '10.0.1.2:7101', service: 'lending', failureDomain: 'dakar-b', standing: 'usable', slots: 8, window: 4, unfinished: 4, speed: 0.69 },
  {
    identity: THIRD_AGENT,
    address: '10.0.1.3:7101',
    service: 'lending',
    failureDomain: 'dakar-c',
    standing: 'ejected',
    reason: 'fails far more than its peers',
    slots: 8,
    window: 4,
    unfinished: 0
  }
]

/** A fleet of three entries and three agents. */
export const SAMPLE_FLEET: FleetStatus = {
  identity: FIRST_ENTRY,
  address: '10.0.0.1:7001',
  failureDomain: 'dakar-a',
  state: 'ready',
  version: '0.1.0',
  at: SAMPLE_TIME,
  startedAt: SAMPLE_TIME - SAMPLE_HOURS * HOUR_MILLISECONDS,
  position: 1_204,
  behind: 0,
  logSilentMilliseconds: 12,
  partitionsOwned: 86,
  partitionsCollecting: 0,
  submissionsRunning: 2,
  callsPending: 5,
  invariantViolations: 0,
  queues: [{ service: 'lending', tasks: 118 }],
  entries: ENTRIES.map((identity, index) => ({
    identity,
    address: `10.0.0.${index + 1}:7001`,
    failureDomain: `dakar-${'abc'[index] ?? ''}`,
    state: 'ready',
    position: 1_204,
    heardAt: SAMPLE_TIME - 300 * index,
    partitionsOwned: index === 0 ? 86 : 85
  })),
  agents: SAMPLE_AGENTS
}

/** A job of which a leaving agent refused 4 tasks, which then ran on another agent. */
export const SAMPLE_EXPLANATION: Explanation = {
  submission: '0198c0de-0000-7000-8000-0000000000aa' as SubmissionKey,
  truncated: false,
  steps: [
    { at: SAMPLE_TIME, entry: FIRST_ENTRY, event: 'accepted', detail: 'The submission was accepted and its tasks wait for agents', count: 12 },
    { at: SAMPLE_TIME + 1, entry: FIRST_ENTRY, event: 'dispatched', detail: 'Tasks were sent to an agent', agent: FIRST_AGENT, count: 8 },
    { at: SAMPLE_TIME + 1, entry: FIRST_ENTRY, event: 'dispatched', detail: 'Tasks were sent to an agent', agent: SECOND_AGENT, count: 4 },
    { at: SAMPLE_TIME + 4, entry: FIRST_ENTRY, event: 'refused', detail: 'An agent refused tasks before they started: leaving', agent: SECOND_AGENT, count: 4 },
    { at: SAMPLE_TIME + 92, entry: FIRST_ENTRY, event: 'dispatched', detail: 'Tasks were sent to an agent', agent: FIRST_AGENT, count: 4 },
    { at: SAMPLE_TIME + 181, entry: FIRST_ENTRY, event: 'finished', detail: 'Its last task has an outcome', count: 12 },
    { at: SAMPLE_TIME + 181, entry: FIRST_ENTRY, event: 'answered', detail: 'Its whole answer was given to a caller', count: 1 }
  ]
}
