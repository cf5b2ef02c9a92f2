/** `baobabpost job explain KEY`. */
import { Args } from '@oclif/core'
import { Explanation, type ExplanationStep } from '@baobabpost/messages'
import { CUSTOMER_FLAG } from '../customer-flag.js'
import { formatInstant } from '../instant.js'
import { OperatorCommand } from '../operator-command.js'
import { parseSubmissionKey, submissionPath } from '../submissions.js'

/** Name of a process without the UUID of its run. */
function nameOf (identity: string): string {
  return identity.split('@')[0] ?? identity
}

function toRow (step: ExplanationStep, first: number): string[] {
  const agent = step.agent === undefined ? '' : nameOf(step.agent)
  const count = step.count === undefined ? '' : String(step.count)
  return [`+${step.at - first} ms`, nameOf(step.entry), step.event, count, agent, step.detail]
}

/** Tells what happened to a job, step by step. */
export class JobExplain extends OperatorCommand {
  static override summary = 'Tell what happened to a job, step by step, with times, places and reasons'
  static override examples = ['<%= config.bin %> job explain 0198c0de-0000-7000-8000-000000000000 --customer medina']
  static override args = { submission: Args.string({ required: true, description: 'submission key' }) }
  static override flags = { customer: CUSTOMER_FLAG }

  async run (): Promise<Explanation> {
    const { args, flags } = await this.parse(JobExplain)
    const path = submissionPath(parseSubmissionKey(args.submission), flags.customer, '/explanation')
    const explanation = await this.asking(
      flags, 'asking for the steps', client => client.ask('GET', path, Explanation))
    const first = explanation.steps[0]?.at ?? 0
    this.log(`submission ${explanation.submission}, first step at ${formatInstant(first)} UTC`)
    const columns = [
      { title: 'TIME', right: true }, { title: 'ENTRY' }, { title: 'EVENT' }, { title: 'TASKS', right: true },
      { title: 'AGENT' }, { title: 'DETAIL' }
    ]
    this.logTable(columns, explanation.steps.map(step => toRow(step, first)))
    if (explanation.truncated) this.log('Steps are missing: the list is bounded, and a takeover loses earlier ones.')
    return explanation
  }
}
