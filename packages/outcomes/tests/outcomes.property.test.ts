import type { SubmissionKey } from '@baobabpost/common'
import type { TaskOutcome } from '@baobabpost/messages'
import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import { agentIdentity, FakeOwner, jobOf, keyAt, NOW, SUCCEEDED } from './fake-owner.js'

const AGENTS = 3
const TASKS = 2
const NOT_RUN: TaskOutcome = { status: 'not-run', reason: 'lease-lapsed' }

/** An agent that starts each task once, and refuses for good what it refused. */
class FakeAgent {
  readonly held = new Set<number>()
  readonly outcomes = new Map<number, TaskOutcome>()
}

/** One step: what happens, to which agent or waiter, and to which task. */
const step = fc.record({
  kind: fc.oneof(
    { weight: 12, arbitrary: fc.constantFrom('dispatch', 'refuse', 'report') },
    { weight: 4, arbitrary: fc.constantFrom('submit', 'start', 'lose', 'wait') },
    { weight: 1, arbitrary: fc.constantFrom('depart', 'cancel') }
  ),
  agent: fc.nat(AGENTS - 1),
  task: fc.nat(TASKS - 1)
})
type Step = typeof step extends fc.Arbitrary<infer Value> ? Value : never

class Run {
  readonly owner = new FakeOwner()
  readonly key: SubmissionKey = keyAt()
  readonly agents = Array.from({ length: AGENTS }, () => new FakeAgent())
  readonly departed = new Set<number>()
  readonly starts = new Map<number, number>()
  now = NOW
  waiters = 0
  cancelled = false

  take (step: Step): void {
    this.now += 25
    const agent = this.agents[step.agent]!
    switch (step.kind) {
      case 'submit':
        this.waiters += 1
        this.owner.submit(this.key, jobOf(TASKS), `local/${this.waiters}`, this.now)
        break
      case 'dispatch':
      case 'lose':
        this.dispatch(step, agent)
        break
      case 'start':
        this.start(step.task, agent)
        break
      case 'refuse':
        if (agent.held.delete(step.task)) agent.outcomes.set(step.task, NOT_RUN)
        break
      case 'report':
        this.report(step)
        break
      case 'depart':
        if (this.departed.size === AGENTS - 1) break
        this.departed.add(step.agent)
        this.owner.outcomes.agentDeparted(agentIdentity(step.agent), this.now)
        break
      case 'cancel':
        if (this.waiters === 0) break
        this.cancelled = true
        this.waiters += 1
        this.owner.cancel(this.key, `local/${this.waiters}`, this.now)
        break
      case 'wait':
        this.now += 2_500
    }
    this.owner.outcomes.tick(this.now)
    this.resend()
  }

  private dispatch ({ kind, task, agent: number }: Step, agent: FakeAgent): void {
    const excluded = this.owner.queued.get(`${this.key}/${task}`)
    if (excluded === undefined || this.departed.has(number) || excluded.includes(agentIdentity(number))) return
    const group = this.owner.dispatch(this.key, [task], number, this.now)
    if (group !== undefined && kind === 'dispatch') this.receive(task, agent)
  }

  private receive (task: number, agent: FakeAgent): void {
    if (!agent.outcomes.has(task)) agent.held.add(task)
  }

  private resend (): void {
    for (const { agent, indexes } of this.owner.resent.splice(0)) {
      const number = Number(agent[6])
      if (this.departed.has(number)) continue
      for (const index of indexes) this.receive(index, this.agents[number]!)
    }
    for (const { agent, selections } of this.owner.withdrawn.splice(0)) {
      for (const index of selections.flatMap(selection => selection.indexes)) {
        const holder = this.agents[Number(agent[6])]!
        if (holder.held.delete(index) || !holder.outcomes.has(index)) {
          holder.outcomes.set(index, { status: 'not-run', reason: 'withdrawn' })
        }
      }
    }
  }

  private start (task: number, agent: FakeAgent): void {
    if (!agent.held.delete(task)) return
    this.starts.set(task, (this.starts.get(task) ?? 0) + 1)
    agent.outcomes.set(task, SUCCEEDED)
  }

  private report ({ agent: number, task }: Step): void {
    const outcome = this.agents[number]!.outcomes.get(task)
    if (outcome === undefined) return
    this.owner.report(this.key, number, [{ index: task, outcome }], this.now)
  }

  /** Lets everything that is under way end. */
  finish (): void {
    for (let round = 0; round < 60; round += 1) {
      this.now += 1_000
      this.owner.outcomes.tick(this.now)
      this.resend()
      for (let number = 0; number < AGENTS; number += 1) {
        for (let task = 0; task < TASKS; task += 1) this.take({ kind: 'start', agent: number, task })
        for (let task = 0; task < TASKS; task += 1) this.take({ kind: 'report', agent: number, task })
      }
    }
    this.owner.outcomes.tasksExpired(this.key, [0, 1], this.now + 100_000)
  }
}

describe('a submission under any order of events', () => {
  it('starts no task twice, tells no started task as not run, and answers each waiter once and whole', () => {
    fc.assert(fc.property(fc.array(step, { minLength: 1, maxLength: 80, size: 'max' }), steps => {
      const run = new Run()
      for (const taken of steps) run.take(taken)
      run.finish()
      expect(run.owner.violations).toEqual([])
      for (const starts of run.starts.values()) expect(starts).toBe(1)
      const answers = [...run.owner.answers.values()]
      expect(answers.every(results => results.length === 1)).toBe(true)
      expect(answers).toHaveLength(run.waiters)
      const whole = answers.map(([result]) => result)
        .filter(result => result?.kind === 'answer' && result.answer.state !== 'running')
      for (const result of whole) {
        expect(result).toEqual(whole[0])
        if (result?.kind !== 'answer') continue
        expect(result.answer.tasks).toHaveLength(TASKS)
        for (const [index, outcome] of (result.answer.tasks ?? []).entries()) {
          if (outcome.status === 'not-run') expect(run.starts.get(index)).toBeUndefined()
          if (outcome.status === 'succeeded') expect(run.starts.get(index)).toBe(1)
        }
      }
    }), { numRuns: 1_000, seed: 4 })
  })
})
