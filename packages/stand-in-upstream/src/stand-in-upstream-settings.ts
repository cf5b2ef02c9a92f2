/** Settings of the binary `baobabpost-stand-in-upstream`. */
import { integerSetting, Name } from '@baobabpost/common'
import { Schema } from 'effect'

/** Settings by name, shown by `--help` and listed in docs/SETTINGS.md. */
export const standInUpstreamSettings = {
  name: { schema: Name, about: 'Name told in each answer', fallback: 'stand-in' },
  listenPort: { schema: integerSetting(0, 65_535), about: 'Port on 127.0.0.1; 0 takes any', fallback: '0' },
  slots: { schema: integerSetting(1, 1_000), about: 'Tasks that run at once', fallback: '8' },
  speed: {
    schema: Schema.FiniteFromString.check(Schema.isGreaterThan(0)),
    about: 'Factor by which run times are divided',
    fallback: '1'
  },
  defaultMilliseconds: {
    schema: integerSetting(0, 600_000),
    about: 'Run time of a task that names none, in milliseconds',
    fallback: '50'
  }
} as const
