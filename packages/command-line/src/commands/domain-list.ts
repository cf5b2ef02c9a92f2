/** `baobabpost domain list`. */
import { DomainList as List } from '@baobabpost/messages'
import { OperatorCommand } from '../operator-command.js'
import { DOMAIN_COLUMNS, toDomainRow } from '../render-domains.js'

/** Lists the failure domains, and how far their state is in force. */
export class DomainList extends OperatorCommand {
  static override summary = 'List the failure domains, which are evacuated, and how many processes know it'
  static override examples = ['<%= config.bin %> domain list', '<%= config.bin %> domain list --json']

  async run (): Promise<List> {
    const { flags } = await this.parse(DomainList)
    const list = await this.withClient(
      flags, 'reading the failure domains', client => client.request('GET', '/v1/domains', List))
    this.logTable(DOMAIN_COLUMNS, list.domains.map(toDomainRow))
    return list
  }
}
