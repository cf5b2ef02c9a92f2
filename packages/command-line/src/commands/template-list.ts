/** `baobabpost template list`. */
import { Template, type ConfigurationList, type ConfigurationRegister } from '@baobabpost/messages'
import { Result, Schema } from 'effect'
import { OperatorCommand } from '../operator-command.js'
import { listRegisters } from '../register-client.js'

function toRow ({ register, version, value }: ConfigurationRegister): string[] {
  const decoded = Schema.decodeUnknownResult(Template)(value)
  if (Result.isFailure(decoded)) return [register, String(version), '(does not decode)', '', '']
  const { name, service, callType, timeoutMilliseconds } = decoded.success
  return [name, String(version), service, callType, String(timeoutMilliseconds)]
}

/** Lists the current templates. */
export class TemplateList extends OperatorCommand {
  static override summary = 'List the current templates'
  static override examples = ['<%= config.bin %> template list', '<%= config.bin %> template list --json']

  async run (): Promise<ConfigurationList> {
    const { flags } = await this.parse(TemplateList)
    const list = await this.withClient(flags, 'reading the templates', client => listRegisters(client, 'template'))
    const columns = [
      { title: 'NAME' }, { title: 'VERSION', isRightAligned: true }, { title: 'SERVICE' }, { title: 'CALL TYPE' },
      { title: 'TIMEOUT MS', isRightAligned: true }
    ]
    this.logTable(columns, list.registers.map(toRow))
    return list
  }
}
