/** Settings of the binary `baobabpost-stand-in-platform`. */
import { integerSetting } from '@baobabpost/common'

const MAXIMUM_RETENTION_MILLISECONDS = 2_592_000_000

/** Settings by name, shown by `--help` and listed in docs/SETTINGS.md. */
export const standInPlatformSettings = {
  port: { schema: integerSetting(0, 65_535), about: 'Port on 127.0.0.1; 0 takes a free one', fallback: '7400' },
  retentionMilliseconds: {
    schema: integerSetting(100, MAXIMUM_RETENTION_MILLISECONDS),
    about: 'Age at which records are dropped, in milliseconds',
    fallback: '3600000'
  },
  retentionRecords: {
    schema: integerSetting(1, 10_000_000),
    about: 'Number of records that are kept',
    fallback: '1000000'
  },
  appendMilliseconds: {
    schema: integerSetting(0, 60_000),
    about: 'Time that a synced append takes, in milliseconds',
    fallback: '5'
  },
  appendsPerSecond: {
    schema: integerSetting(1, 1_000_000),
    about: 'Appends a second; more are answered with 429',
    fallback: '400'
  }
}
