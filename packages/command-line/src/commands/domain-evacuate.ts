/** `baobabpost domain evacuate NAME`. */
import { Args, Flags } from '@oclif/core'
import { FailureDomain } from '@baobabpost/messages'
import { OperatorCommand } from '../operator-command.js'
import { describeDomain } from '../render-domains.js'

/** Start nothing new in a failure domain until it is restored; its running tasks finish normally. */
export class DomainEvacuate extends OperatorCommand {
  static override summary = 'Start nothing new in a failure domain until it is restored; its running tasks finish normally'
  static override examples = ['<%= config.bin %> domain evacuate dakar-1']

  static override args = { domain: Args.string({ required: true, description: 'name of the failure domain' }) }

  static override flags = {
    reason: Flags.string({ description: 'reason to record', default: 'evacuated by an operator' })
  }

  async run (): Promise<FailureDomain> {
    const { args, flags } = await this.parse(DomainEvacuate)
    const path = `/v1/domains/${encodeURIComponent(args.domain)}/evacuate?reason=${encodeURIComponent(flags.reason)}`
    const domain = await this.withClient(
      flags, 'evacuating', client => client.request('POST', path, FailureDomain))
    this.log(describeDomain(domain))
    return domain
  }
}
