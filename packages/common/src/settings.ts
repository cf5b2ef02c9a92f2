/**
 * Settings of a process, read from flags and environment variables and validated by schemas at startup.
 *
 * A setting `linkKey` has the flag `--link-key` and the variable `BAOBABPOST_LINK_KEY`; the flag takes precedence over
 * the variable. All faults are reported at once, one line each, and the process exits with `EXIT_BAD_SETTINGS`.
 */
import { parseArgs } from 'node:util'
import { Result, Schema } from 'effect'

/** Exit code of a process whose settings are invalid. */
export const EXIT_BAD_SETTINGS = 2

const VARIABLE_PREFIX = 'BAOBABPOST_'

/** Definition of one setting. */
export interface SettingDefinition<S extends Schema.Codec<unknown, string> = Schema.Codec<unknown, string>> {
  /** Decodes the value from the text of a flag or variable. */
  readonly schema: S
  /** One line for `--help` and the docs, with the unit of the value. */
  readonly about: string
  /** Default as text; a setting without a default is required. */
  readonly fallback?: string
  /** Whether the value is a secret, which is not printed. */
  readonly secret?: boolean
}

/** Definitions of the settings of a process, by name of the setting. */
export type SettingDefinitions = Record<string, SettingDefinition>

/** Validated values of settings, by name of the setting. */
export type SettingValues<D extends SettingDefinitions> = { readonly [Name in keyof D]: D[Name]['schema']['Type'] }

/** Result of `readSettings`: the values, the faults found, or a request for help or the version. */
export type SettingsResult<D extends SettingDefinitions> =
  | { readonly kind: 'settings', readonly values: SettingValues<D> }
  | { readonly kind: 'faults', readonly faults: readonly string[] }
  | { readonly kind: 'help' }
  | { readonly kind: 'version' }

/**
 * Returns the flag of a setting, without the dashes in front.
 *
 * @example
 * flagName('linkKey') // 'link-key'
 */
export function flagName (setting: string): string {
  return setting.replaceAll(/[A-Z]/g, letter => '-' + letter.toLowerCase())
}

/**
 * Returns the environment variable of a setting.
 *
 * @example
 * variableName('linkKey') // 'BAOBABPOST_LINK_KEY'
 */
export function variableName (setting: string): string {
  return VARIABLE_PREFIX + flagName(setting).replaceAll('-', '_').toUpperCase()
}

function findUnknownVariables (definitions: SettingDefinitions, environment: NodeJS.ProcessEnv): string[] {
  const known = new Set(Object.keys(definitions).map(variableName))
  return Object.keys(environment).filter(name => name.startsWith(VARIABLE_PREFIX) && !known.has(name))
}

/** Parses the arguments into flags by name; a flag without a value is `true`. */
function parseFlags (argv: readonly string[]): { values: Map<string, string | true>, faults: string[] } {
  const { tokens } = parseArgs({ args: [...argv], strict: false, allowPositionals: true, tokens: true })
  const values = new Map<string, string | true>()
  const faults: string[] = []
  let flagAwaitingValue: string | undefined
  for (const token of tokens) {
    if (token.kind === 'option') {
      values.set(token.name, token.value ?? true)
      flagAwaitingValue = token.value === undefined ? token.name : undefined
    } else if (token.kind === 'positional' && flagAwaitingValue !== undefined) {
      values.set(flagAwaitingValue, token.value)
      flagAwaitingValue = undefined
    } else if (token.kind === 'positional') {
      faults.push(`unexpected argument '${token.value}'`)
    }
  }
  return { values, faults }
}

/**
 * Reads and validates the settings of a process.
 *
 * @param definitions - Settings of the process.
 * @param argv - Arguments after the program name.
 * @param environment - Environment variables.
 * @example
 * const result = readSettings(entrySettings, process.argv.slice(2), process.env)
 */
export function readSettings<D extends SettingDefinitions> (
  definitions: D,
  argv: readonly string[],
  environment: NodeJS.ProcessEnv
): SettingsResult<D> {
  const { values: flags, faults } = parseFlags(argv)
  if (flags.has('help')) return { kind: 'help' }
  if (flags.has('version')) return { kind: 'version' }
  const knownFlags = new Set(Object.keys(definitions).map(flagName))
  for (const flag of flags.keys()) {
    if (!knownFlags.has(flag)) faults.push(`unknown flag '--${flag}'`)
  }
  for (const variable of findUnknownVariables(definitions, environment)) {
    faults.push(`unknown environment variable '${variable}'`)
  }
  const values: Record<string, unknown> = {}
  for (const [name, definition] of Object.entries(definitions)) {
    const text = flags.get(flagName(name)) ?? environment[variableName(name)] ?? definition.fallback
    if (text === undefined || text === true) {
      faults.push(`setting '--${flagName(name)}' (${variableName(name)}) is missing a value: ${definition.about}`)
      continue
    }
    const decoded = Schema.decodeUnknownResult(definition.schema)(text)
    if (Result.isSuccess(decoded)) values[name] = decoded.success
    else faults.push(describeFault(name, text, definition, decoded.failure.message))
  }
  if (faults.length > 0) return { kind: 'faults', faults }
  return { kind: 'settings', values: values as SettingValues<D> }
}

function describeFault (name: string, text: string, definition: SettingDefinition, reason: string): string {
  const shownValue = definition.secret === true ? 'the given value' : `'${text}'`
  const firstLine = reason.split('\n')[0] ?? reason
  return `setting '--${flagName(name)}' (${variableName(name)}): ${shownValue} is invalid: ${firstLine}`
}

/**
 * Returns the help text of a program.
 *
 * @param program - Name of the program.
 * @param about - One sentence that says what the program does.
 */
export function formatHelp (program: string, about: string, definitions: SettingDefinitions): string {
  const lines = [about, '', `usage: ${program} [--flag value …]`, '']
  for (const [name, definition] of Object.entries(definitions)) {
    const defaultText = definition.fallback === undefined ? 'required' : `default '${definition.fallback}'`
    lines.push(`  --${flagName(name)}  ${definition.about} (${variableName(name)}; ${defaultText})`)
  }
  lines.push('  --help  print this text', '  --version  print the version', '')
  return lines.join('\n')
}

/**
 * Reads the settings of a program. Exits the process with 0 after printing help or the version, and with
 * `EXIT_BAD_SETTINGS` after printing faults.
 *
 * @example
 * const settings = readSettingsOrExit('baobabpost-entry', 'Entry of a baobabpost fleet', VERSION, entrySettings)
 */
export function readSettingsOrExit<D extends SettingDefinitions> (
  program: string,
  about: string,
  version: string,
  definitions: D
): SettingValues<D> {
  const result = readSettings(definitions, process.argv.slice(2), process.env)
  switch (result.kind) {
    case 'settings':
      return result.values
    case 'help':
      process.stdout.write(formatHelp(program, about, definitions))
      return process.exit(0)
    case 'version':
      process.stdout.write(`${program} ${version}\n`)
      return process.exit(0)
    case 'faults':
      for (const fault of result.faults) process.stderr.write(`${program}: ${fault}\n`)
      return process.exit(EXIT_BAD_SETTINGS)
  }
}
