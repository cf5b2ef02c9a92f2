/** `baobabpost domain restore NAME`. */
import { Args } from '@oclif/core'
import { FailureDomain } from '@baobabpost/messages'
import { OperatorCommand } from '../operator-command.js'
import { describeDomain } from '../render-domains.js'

/** End the evacuation of a failure domain. */
export class DomainRestore extends OperatorCommand {
  static override summary = 'End the evacuation of a failure domain'
  static override examples = ['<%= config.bin %> domain restore dakar-1']

  static override args = { domain: Args.string({ required: true, description: 'name of the failure domain' }) }

  async run (): Promise<FailureDomain> {
    const { args, flags } = await this.parse(DomainRestore)
    const path = `/v1/domains/${encodeURIComponent(args.domain)}/restore`
    const domain = await this.withClient(
      flags, 'restoring', client => client.request('POST', path, FailureDomain))
    this.log(describeDomain(domain))
    return domain
  }
}
