/** The configuration in force at one process, read from its registers. */
import { registerName, type Objective, type Policy, type RegisterKind } from '@baobabpost/messages'
import { parseRegisterKind, type RegisterProjection } from '@baobabpost/platform-log'
import { builtInPolicy } from './built-in-policy.js'
import type { Configuration } from './configuration.js'
import { createRegisterHistory } from './register-history.js'
import { createResolver } from './resolver.js'

const CONFIGURATION_KINDS: ReadonlySet<RegisterKind> = new Set<RegisterKind>([
  'template', 'customer', 'team', 'policy', 'objective', 'drain'
])

/** Whether a register is configuration that operators publish. */
export function isConfigurationRegister (register: string): boolean {
  const kind = parseRegisterKind(register)
  return kind !== undefined && CONFIGURATION_KINDS.has(kind)
}

/** What a configuration reads. */
export interface ConfigurationOptions {
  readonly projection: Pick<RegisterProjection, 'read' | 'list' | 'position' | 'logPosition'>
}

/**
 * Makes the configuration over the registers of a fold.
 *
 * @example
 * const configuration = createConfiguration({ fold })
 * configuration.changed(fold.apply(batch, now), now)
 * const resolution = configuration.resolveJob(request)
 */
export function createConfiguration (options: ConfigurationOptions): Configuration {
  const { projection: projection } = options
  const resolver = createResolver(projection)
  const history = createRegisterHistory()
  return {
    registersChanged (changes, now) {
      for (const change of changes) {
        if (!isConfigurationRegister(change.register)) continue
        history.note(change, now)
        resolver.reset()
      }
    },
    resolveJob: resolver.resolveJob,
    resolveCall: resolver.resolveCall,
    policy (name) {
      const value = projection.read(registerName('policy', name))?.value
      return value === undefined || value === null ? builtInPolicy(name) : value as Policy
    },
    objectives: () => projection.list('objective').map(({ value }) => value as Objective),
    history: history.read,
    status (standing) {
      const position = projection.position()
      return {
        position,
        behindRecords: Math.max(standing.end - position, 0),
        behindSince: standing.behindSince,
        source: position > projection.logPosition() ? 'peer' : 'log'
      }
    }
  }
}
