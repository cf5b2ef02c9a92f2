/** Outcomes with ports that remember what was asked of them. */
import { createInvariants, createSubmissionKey, type AgentIdentity, type SubmissionKey } from '@baobabpost/common'
import type { DispatchGroup, JobRequest, OperationResult, SubmissionAnswer, TaskOutcome, TaskReport, TaskSelection } from '@baobabpost/messages'
import type { PartitionState } from '@baobabpost/ownership'
import { createOutcomes, type Outcomes, type QueueDecision, type ReportResult, type WaitingTasks } from '../src/index.js'

export const NOW = 1_750_000_000_000
export const KEY_WINDOW = 600_000
export const SKEW = 2_000
export const LEASE_END = NOW + 1_000_000
export const EPOCH = 7
export const SUCCEEDED: TaskOutcome = { status: 'succeeded', answer: { done: true } }
export const SERVING: PartitionState = {
  kind: 'ours', epoch: EPOCH, phase: 'serving', unaccounted: 0, uncertainBefore: 0
}
export const COLLECTING: PartitionState = {
  kind: 'ours', epoch: EPOCH, phase: 'collecting', unaccounted: 1, uncertainBefore: Infinity
}

export function agentIdentity (number: number): AgentIdentity {
  return `agent-${number}@00000000-0000-7000-8000-00000000000${number}` as AgentIdentity
}

export function keyAt (time: number = NOW): SubmissionKey {
  return createSubmissionKey(time)
}

export function jobOf (taskCount: number): JobRequest {
  const tasks = Array.from({ length: taskCount }, (_, place) => ({ place }))
  return { template: 'checkout', customer: 'medina', tasks }
}

/** An owner of every partition whose queue, agents and callers are the test's. */
export class FakeOwner {
  state: PartitionState = SERVING
  decision: QueueDecision = { kind: 'admitted' }
  mayJudge = true
  readonly queued = new Map<string, readonly AgentIdentity[]>()
  readonly answers = new Map<string, OperationResult[]>()
  readonly rerouted: string[] = []
  readonly resent: { agent: AgentIdentity, indexes: readonly number[] }[] = []
  readonly withdrawn: { agent: AgentIdentity, selections: readonly TaskSelection[] }[] = []
  readonly violations: string[] = []
  startBefore = NOW + 60_000
  readonly outcomes: Outcomes = createOutcomes({
    keyWindowMilliseconds: KEY_WINDOW,
    clockSkewMilliseconds: SKEW,
    invariants: createInvariants((name, detail) => { this.violations.push(`${name}: ${detail}`) }),
    ports: {
      partitionState: () => this.state,
      mayDeclareNotRun: () => this.mayJudge,
      resolve: () => ({
        kind: 'resolved',
        job: {
          service: 'lending',
          team: 'dakar',
          path: '/checkout',
          timeoutMilliseconds: 5_000,
          parameters: { desk: 1 },
          urgent: false,
          startBefore: this.startBefore,
          expectedMilliseconds: 100
        }
      }),
      offer: tasks => {
        if (this.decision.kind === 'admitted') this.queue(tasks)
        return this.decision
      },
      restore: tasks => { this.queue(tasks) },
      removeWaiting: (submission, indexes) => {
        for (const key of [...this.queued.keys()]) {
          const [name, index] = key.split('/') as [string, string]
          if (name === submission && (indexes === undefined || indexes.has(Number(index)))) this.queued.delete(key)
        }
      },
      withdraw: (agent, selections) => { this.withdrawn.push({ agent, selections }) },
      resend: (agent, _submission, indexes) => { this.resent.push({ agent, indexes }) },
      answer: (waiter, result) => { this.answers.set(waiter, [...this.answers.get(waiter) ?? [], result]) },
      reroute: waiters => { this.rerouted.push(...waiters) }
    }
  })

  private queue (tasks: WaitingTasks): void {
    for (const [place, index] of tasks.indexes.entries()) {
      const key = `${tasks.submission}/${index}`
      if (this.queued.has(key)) this.violations.push(`${key} queued twice`)
      this.queued.set(key, tasks.excludedAgents[place] ?? [])
    }
  }

  submit (
    submission: SubmissionKey, request: JobRequest, waiter: string = 'local/1', now: number = NOW,
    digest: string = 'digest'
  ): void {
    const { customer } = request
    this.outcomes.submit({ waiter, submission, customer, request, digest, waitUntil: now + 30_000 }, now)
  }

  query (submission: SubmissionKey, waiter: string, waitUntil: number = 0, now: number = NOW): void {
    this.outcomes.query({ waiter, submission, customer: 'medina', waitUntil }, now)
  }

  cancel (submission: SubmissionKey, waiter: string, now: number = NOW): void {
    this.outcomes.cancel({ waiter, submission, customer: 'medina', waitUntil: now + 30_000 }, now)
  }

  dispatch (
    submission: SubmissionKey, indexes: readonly number[], agent: number, now: number = NOW
  ): DispatchGroup | undefined {
    for (const index of indexes) this.queued.delete(`${submission}/${index}`)
    return this.outcomes.dispatch(submission, indexes, agentIdentity(agent), EPOCH, LEASE_END, now)
  }

  report (
    submission: SubmissionKey, agent: number, tasks: readonly Pick<TaskReport, 'index' | 'outcome' | 'attempt'>[],
    now: number = NOW, epoch: number = EPOCH
  ): ReportResult {
    const reports = tasks.map(task => ({ ...task, runMilliseconds: 10 }))
    const ownership = { partition: 0, epoch }
    return this.outcomes.report(agentIdentity(agent), { submission, ownership, tasks: reports }, now)
  }

  /** The single result that a waiter got. */
  result (waiter: string): OperationResult {
    const results = this.answers.get(waiter) ?? []
    if (results.length !== 1) throw new Error(`${waiter} got ${results.length} results`)
    return results[0]!
  }

  answer (waiter: string): SubmissionAnswer {
    const result = this.result(waiter)
    if (result.kind !== 'answer') throw new Error(`${waiter} got ${JSON.stringify(result)}`)
    return result.answer
  }

  problem (waiter: string): string {
    const result = this.result(waiter)
    return result.kind === 'problem' ? result.problem.kind : result.kind
  }

  setState (state: PartitionState, partition: number, now: number = NOW): void {
    this.state = state
    this.outcomes.partitionChanged(partition, state, now)
  }
}
