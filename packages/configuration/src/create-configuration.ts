/** Reads the configuration in force at one process from its registers. */
import { registerName, type Objective, type Policy, type RegisterKind } from '@baobabpost/messages'
import { parseRegisterKind, type RegisterProjection } from '@baobabpost/platform-log'
import { builtInPolicy } from './built-in-policy.js'
import type { Configuration } from './configuration.js'
import { createRegisterHistory } from './register-history.js'
import { createResolver } from './resolver.js'

const CONFIGURATION_KINDS: ReadonlySet<RegisterKind> = new Set<RegisterKind>([
  'template', 'customer', 'team', 'policy', 'objective', 'drain', 'evacuation'
])

/** Whether a register holds configuration, which operators publish. */
export function isConfigurationRegister (register: string): boolean {
  const kind = parseRegisterKind(register)
  return kind !== undefined && CONFIGURATION_KINDS.has(kind)
}

export interface ConfigurationOptions {
  readonly projection: Pick<RegisterProjection, 'read' | 'list' | 'position' | 'logPosition'>
}

/**
 * Creates the configuration over a projection of the log.
 *
 * @example
 * const configuration = createConfiguration({ projection })
 * configuration.registersChanged(projection.apply(batch, now), now)
 * const resolution = configuration.resolveJob(request)
 */
export function createConfiguration (options: ConfigurationOptions): Configuration {
  const { projection } = options
  const resolver = createResolver(projection)
  const history = createRegisterHistory()
  return {
    registersChanged (changes, now) {
      for (const change of changes) {
        if (!isConfigurationRegister(change.register)) continue
        history.recordVersion(change, now)
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
    status (logStatus) {
      const position = projection.position()
      return {
        position,
        behindRecords: Math.max(logStatus.end - position, 0),
        behindSince: logStatus.behindSince,
        source: position > projection.logPosition() ? 'peer' : 'log'
      }
    }
  }
}
