/** `baobabpost upstream drain AGENT`. */
import { Args } from '@oclif/core'
import { DrainAccepted } from '@baobabpost/messages'
import { OperatorCommand } from '../operator-command.js'

/** Drains an upstream. */
export class UpstreamDrain extends OperatorCommand {
  static override summary = 'Send an upstream nothing new; what it is running ends as usual'
  static override examples = ['<%= config.bin %> upstream drain lending-3@0198c0de-0000-7000-8000-000000000000']
  static override args = { agent: Args.string({ required: true, description: 'identity, as upstream list prints it' }) }

  async run (): Promise<DrainAccepted> {
    const { args, flags } = await this.parse(UpstreamDrain)
    const path = `/v1/upstreams/${encodeURIComponent(args.agent)}/drain`
    const accepted = await this.asking(flags, 'draining', client => client.ask('POST', path, DrainAccepted))
    this.log(`${accepted.agent} is ${accepted.standing}; unfinished tasks of this entry: ${accepted.unfinished}`)
    return accepted
  }
}
