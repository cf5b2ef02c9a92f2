/** Turns the recorded steps of a submission into the explanation that callers and operators receive. */
import type { EntryIdentity, SubmissionKey } from '@baobabpost/common'
import { createProblem, type Explanation, type OperationResult } from '@baobabpost/messages'
import type { Outcomes, SubmissionStep } from '@baobabpost/outcomes'

const STEP_DETAILS: Readonly<Record<SubmissionStep['step'], string>> = {
  accepted: 'The submission was accepted and its tasks wait for agents',
  joined: 'A resubmission joined it',
  dispatched: 'Tasks were sent to an agent',
  refused: 'An agent refused tasks before they started',
  requeued: 'Tasks that did not start wait again',
  resent: 'A dispatch without a report was sent again to the same agent',
  'taken-over': 'This entry took it over from what an agent knew',
  adopted: 'A resubmission brought the body for the tasks that had not started',
  'handed-over': 'The previous owner handed it over',
  cancelled: 'It was cancelled',
  'agent-lost': 'An agent was lost with tasks that it had not reported',
  expired: 'Tasks were not started in time',
  finished: 'Its last task has an outcome',
  answered: 'Its whole answer was given to a caller',
  'waiting-for-body': 'Tasks that did not start wait for a resubmission that brings the body'
}

function describeStep (step: SubmissionStep): string {
  const detail = STEP_DETAILS[step.step]
  return step.reason === undefined ? detail : `${detail}: ${step.reason}`
}

/**
 * Explains a submission to the customer that it belongs to.
 *
 * @returns The explanation, or a problem of kind `unknown-submission` or `forbidden`.
 */
export function explainSubmission (
  outcomes: Pick<Outcomes, 'explain'>, identity: EntryIdentity, submission: SubmissionKey, customer: string
): OperationResult {
  const known = outcomes.explain(submission)
  if (known === undefined) {
    return { kind: 'problem', problem: createProblem('unknown-submission', 'The owner does not know the submission') }
  }
  if (customer !== known.customer) {
    return { kind: 'problem', problem: createProblem('forbidden', 'The submission belongs to another customer') }
  }
  const explanation: Explanation = {
    submission,
    truncated: known.omittedSteps > 0 || known.steps[0]?.step === 'taken-over',
    steps: known.steps.map(step => ({
      at: step.at,
      entry: identity,
      event: step.step,
      detail: describeStep(step),
      count: step.tasks,
      ...(step.agent === undefined ? {} : { agent: step.agent })
    }))
  }
  return { kind: 'explanation', explanation }
}
