/** Bounded list of the steps of one submission; equal steps are merged and their tasks added up. */
import type { AgentIdentity } from '@baobabpost/common'
import type { SubmissionStep } from './outcomes.js'

const MAXIMUM_STEPS = 64

interface MutableStep {
  at: number
  step: SubmissionStep['step']
  tasks: number
  agent?: AgentIdentity
  reason?: string
}

export interface StepLog {
  add: (step: SubmissionStep['step'], tasks: number, now: number, agent?: AgentIdentity, reason?: string) => void
  steps: () => readonly SubmissionStep[]
  /** Returns the number of steps left out because the list was full. */
  omitted: () => number
}

/**
 * Creates an empty list of steps.
 *
 * @example
 * steps.add('dispatched', 8, now, agent)
 */
export function createStepLog (): StepLog {
  const steps: MutableStep[] = []
  let omitted = 0

  return {
    add (step, tasks, now, agent, reason) {
      for (const known of steps) {
        if (known.step !== step || known.agent !== agent || known.reason !== reason) continue
        known.tasks += tasks
        return
      }
      if (steps.length >= MAXIMUM_STEPS) {
        omitted += 1
        return
      }
      steps.push({
        at: now,
        step,
        tasks,
        ...agent === undefined ? {} : { agent },
        ...reason === undefined ? {} : { reason }
      })
    },
    steps: () => steps,
    omitted: () => omitted
  }
}
