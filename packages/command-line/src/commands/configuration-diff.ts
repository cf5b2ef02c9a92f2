/** `baobabpost configuration diff KIND NAME [FILE]`. */
import { Args, Flags } from '@oclif/core'
import type { ConfigurationHistory } from '@baobabpost/messages'
import { CommandFailure } from '../command-failure.js'
import { compareValues, type ValueDifference } from '../compare-values.js'
import { readJsonInput } from '../input-file.js'
import { OperatorCommand } from '../operator-command.js'
import { PUBLISHED_KINDS, PUBLISHED_SCHEMAS, readHistory, readRegister } from '../register-client.js'

/** Value that `--json` prints. */
interface DiffResult {
  readonly register: string
  readonly differences: readonly ValueDifference[]
}

function valueAtVersion (history: ConfigurationHistory, version: number): unknown {
  const found = history.versions.find(candidate => candidate.version === version)
  if (found !== undefined) return found.value
  throw new CommandFailure({ exit: 'unknown', detail: `Version ${version} of ${history.register} is not known to this entry` })
}

function formatDifference ({ path, before, after }: ValueDifference): string {
  const displayPath = path === '' ? '(value)' : path
  const lines: string[] = []
  if (before !== undefined) lines.push(`- ${displayPath}: ${before}`)
  if (after !== undefined) lines.push(`+ ${displayPath}: ${after}`)
  return lines.join('\n')
}

/** Compares a configuration register with a file, or two of its versions. */
export class ConfigurationDiff extends OperatorCommand {
  static override summary = 'Compare the current configuration with a file, or two versions with each other'
  static override examples = [
    '<%= config.bin %> configuration diff customer medina medina.json',
    '<%= config.bin %> configuration diff customer medina --from 41 --to 57'
  ]

  static override args = {
    kind: Args.option({ options: PUBLISHED_KINDS })({ required: true, description: 'kind of configuration' }),
    name: Args.string({ required: true, description: 'name within the kind' }),
    file: Args.string({ description: 'JSON file, or - for standard input' })
  }

  static override flags = {
    from: Flags.integer({ min: 0, summary: 'older version', dependsOn: ['to'] }),
    to: Flags.integer({ min: 0, summary: 'newer version', dependsOn: ['from'] })
  }

  async run (): Promise<DiffResult> {
    const { args, flags } = await this.parse(ConfigurationDiff)
    const { kind, name, file } = args
    const { from, to } = flags
    if ((file === undefined) === (from === undefined)) {
      throw new CommandFailure({ exit: 'usage', detail: 'Either a file, or --from and --to, is required' })
    }
    const fileValue = file === undefined ? undefined : readJsonInput(file, PUBLISHED_SCHEMAS[kind])
    const differences = await this.withClient(flags, 'reading the configuration', async client => {
      if (from === undefined || to === undefined) {
        return compareValues((await readRegister(client, kind, name)).value, fileValue)
      }
      const history = await readHistory(client, kind, name)
      return compareValues(valueAtVersion(history, from), valueAtVersion(history, to))
    })
    this.log(differences.length === 0 ? 'No differences.' : differences.map(formatDifference).join('\n'))
    return { register: `${kind}/${name}`, differences }
  }
}
