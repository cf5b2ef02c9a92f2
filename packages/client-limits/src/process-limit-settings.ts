/** Settings of a process that limit what its clients may make it hold. */
import { integerSetting } from '@baobabpost/common'
import { DEFAULT_PROCESS_LIMITS } from './client-budget.js'

const MAXIMUM = 1_048_576

/** Settings that every process with servers accepts. */
export const PROCESS_LIMIT_SETTINGS = {
  memoryLimitMegabytes: {
    schema: integerSetting(160, MAXIMUM),
    about: 'Memory that the process may use, in MB; clients may make it hold a quarter of that',
    fallback: String(DEFAULT_PROCESS_LIMITS.memoryMegabytes)
  },
  descriptorLimit: {
    schema: integerSetting(512, MAXIMUM),
    about: 'Descriptors that the process may open; clients may open 0.85 of all but 200 for files',
    fallback: String(DEFAULT_PROCESS_LIMITS.descriptors)
  }
} as const
