/** `baobabpost upstream drain AGENT`. */
import { Args } from '@oclif/core'
import { DrainAccepted, FleetStatus } from '@baobabpost/messages'
import { CommandFailure } from '../command-failure.js'
import type { EntryClient } from '../entry-client.js'
import { OperatorCommand } from '../operator-command.js'

/** Returns the identity of the agent with a name; an identity is returned unchanged. */
async function resolveAgent (client: EntryClient, nameOrIdentity: string): Promise<string> {
  if (nameOrIdentity.includes('@')) return nameOrIdentity
  const { agents } = await client.request('GET', '/v1/fleet', FleetStatus)
  const matches = agents.filter(({ identity, standing }) => standing !== 'departed' && identity.startsWith(`${nameOrIdentity}@`))
  const [only, ...others] = matches
  if (only === undefined) throw new CommandFailure({ exit: 'unknown', detail: `There is no agent '${nameOrIdentity}'` })
  if (others.length === 0) return only.identity
  const identities = matches.map(match => match.identity).join(', ')
  throw new CommandFailure({ exit: 'usage', detail: `'${nameOrIdentity}' is the name of several agents: ${identities}` })
}

export class UpstreamDrain extends OperatorCommand {
  static override summary = 'Stop sending new tasks to an upstream; its running tasks finish normally'
  static override examples = [
    '<%= config.bin %> upstream drain lending-3',
    '<%= config.bin %> upstream drain lending-3@0198c0de-0000-7000-8000-000000000000'
  ]

  static override args = { agent: Args.string({ required: true, description: 'name of the agent, or its identity' }) }

  async run (): Promise<DrainAccepted> {
    const { args, flags } = await this.parse(UpstreamDrain)
    const accepted = await this.withClient(flags, 'draining', async client => {
      const agent = await resolveAgent(client, args.agent)
      return await client.request('POST', `/v1/upstreams/${encodeURIComponent(agent)}/drain`, DrainAccepted)
    })
    this.log(`${accepted.agent} is ${accepted.standing}; unfinished tasks of this entry: ${accepted.unfinished}`)
    return accepted
  }
}
