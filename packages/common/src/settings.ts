/**
 * Settings of a process, from flags and environment variables, checked by a schema at start.
 *
 * A setting `linkKey` is the flag `--link-key` and the variable `BAOBABPOST_LINK_KEY`; the flag goes before the
 * variable. All faults are reported at once, one line each, and end the process with `EXIT_BAD_SETTINGS`.
 */
import { parseArgs } from 'node:util'
import { Result, Schema } from 'effect'

/** Exit code of a process whose settings are wrong. */
export const EXIT_BAD_SETTINGS = 2

const VARIABLE_PREFIX = 'BAOBABPOST_'

/** One setting: its schema from text, what it is for, and its default as text. */
export interface SettingDefinition<S extends Schema.Codec<unknown, string> = Schema.Codec<unknown, string>> {
  readonly schema: S
  /** One line for `--help` and the docs, with the unit. */
  readonly about: string
  /** Text of the default; a setting without one must be given. */
  readonly fallback?: string
  /** Whether the value is a secret, which is never printed. */
  readonly secret?: boolean
}

/** The settings of a process by name. */
export type SettingDefinitions = Record<string, SettingDefinition>

/** The checked values of settings. */
export type SettingValues<D extends SettingDefinitions> = { readonly [Name in keyof D]: D[Name]['schema']['Type'] }

/** Outcome of reading the settings. */
export type SettingsReading<D extends SettingDefinitions> =
  | { readonly kind: 'settings', readonly values: SettingValues<D> }
  | { readonly kind: 'faults', readonly faults: readonly string[] }
  | { readonly kind: 'help' }
  | { readonly kind: 'version' }

/**
 * Writes the flag of a setting.
 *
 * @example
 * flagName('linkKey') // 'link-key'
 */
export function flagName (setting: string): string {
  return setting.replaceAll(/[A-Z]/g, letter => '-' + letter.toLowerCase())
}

/**
 * Writes the environment variable of a setting.
 *
 * @example
 * variableName('linkKey') // 'BAOBABPOST_LINK_KEY'
 */
export function variableName (setting: string): string {
  return VARIABLE_PREFIX + flagName(setting).replaceAll('-', '_').toUpperCase()
}

function unknownVariables (definitions: SettingDefinitions, environment: NodeJS.ProcessEnv): string[] {
  const known = new Set(Object.keys(definitions).map(variableName))
  return Object.keys(environment).filter(name => name.startsWith(VARIABLE_PREFIX) && !known.has(name))
}

/** Flags as given, by flag name; a flag without a value is `true`. */
function parseFlags (argv: readonly string[]): { values: Map<string, string | true>, faults: string[] } {
  const { tokens } = parseArgs({ args: [...argv], strict: false, allowPositionals: true, tokens: true })
  const values = new Map<string, string | true>()
  const faults: string[] = []
  let pending: string | undefined
  for (const token of tokens) {
    if (token.kind === 'option') {
      values.set(token.name, token.value ?? true)
      pending = token.value === undefined ? token.name : undefined
    } else if (token.kind === 'positional' && pending !== undefined) {
      values.set(pending, token.value)
      pending = undefined
    } else if (token.kind === 'positional') {
      faults.push(`unexpected argument '${token.value}'`)
    }
  }
  return { values, faults }
}

/**
 * Reads and checks the settings of a process.
 *
 * @param definitions - The settings that the process knows.
 * @param argv - Arguments after the program's name.
 * @param environment - Environment variables.
 * @example
 * const reading = readSettings(entrySettings, process.argv.slice(2), process.env)
 */
export function readSettings<D extends SettingDefinitions> (
  definitions: D,
  argv: readonly string[],
  environment: NodeJS.ProcessEnv
): SettingsReading<D> {
  const { values: flags, faults } = parseFlags(argv)
  if (flags.has('help')) return { kind: 'help' }
  if (flags.has('version')) return { kind: 'version' }
  const knownFlags = new Set(Object.keys(definitions).map(flagName))
  for (const flag of flags.keys()) {
    if (!knownFlags.has(flag)) faults.push(`unknown flag '--${flag}'`)
  }
  for (const variable of unknownVariables(definitions, environment)) {
    faults.push(`unknown environment variable '${variable}'`)
  }
  const values: Record<string, unknown> = {}
  for (const [name, definition] of Object.entries(definitions)) {
    const given = flags.get(flagName(name)) ?? environment[variableName(name)] ?? definition.fallback
    if (given === undefined || given === true) {
      faults.push(`setting '--${flagName(name)}' (${variableName(name)}) is missing a value: ${definition.about}`)
      continue
    }
    const decoded = Schema.decodeUnknownResult(definition.schema)(given)
    if (Result.isSuccess(decoded)) values[name] = decoded.success
    else faults.push(describeFault(name, given, definition, decoded.failure.message))
  }
  if (faults.length > 0) return { kind: 'faults', faults }
  return { kind: 'settings', values: values as SettingValues<D> }
}

function describeFault (name: string, given: string, definition: SettingDefinition, reason: string): string {
  const shown = definition.secret === true ? 'the given value' : `'${given}'`
  const firstLine = reason.split('\n')[0] ?? reason
  return `setting '--${flagName(name)}' (${variableName(name)}): ${shown} is wrong: ${firstLine}`
}

/**
 * Writes the help text of a binary.
 *
 * @param program - Name of the binary.
 * @param about - What it does, in a sentence.
 */
export function formatHelp (program: string, about: string, definitions: SettingDefinitions): string {
  const lines = [about, '', `usage: ${program} [--flag value …]`, '']
  for (const [name, definition] of Object.entries(definitions)) {
    const fallback = definition.fallback === undefined ? 'required' : `default '${definition.fallback}'`
    lines.push(`  --${flagName(name)}  ${definition.about} (${variableName(name)}; ${fallback})`)
  }
  lines.push('  --help  print this text', '  --version  print the version', '')
  return lines.join('\n')
}

/**
 * Reads the settings of a binary, or ends the process: 0 after help or version, `EXIT_BAD_SETTINGS` after faults.
 *
 * @example
 * const settings = settingsOrExit('baobabpost-entry', 'Entry of a baobabpost fleet', VERSION, entrySettings)
 */
export function readSettingsOrExit<D extends SettingDefinitions> (
  program: string,
  about: string,
  version: string,
  definitions: D
): SettingValues<D> {
  const reading = readSettings(definitions, process.argv.slice(2), process.env)
  switch (reading.kind) {
    case 'settings':
      return reading.values
    case 'help':
      process.stdout.write(formatHelp(program, about, definitions))
      return process.exit(0)
    case 'version':
      process.stdout.write(`${program} ${version}\n`)
      return process.exit(0)
    case 'faults':
      for (const fault of reading.faults) process.stderr.write(`${program}: ${fault}\n`)
      return process.exit(EXIT_BAD_SETTINGS)
  }
}
