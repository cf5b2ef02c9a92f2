#!/usr/bin/env node
/** The binary `baobabpost-stand-in-platform`: runs the stand-in as a separate process until SIGTERM or SIGINT. */
import { createLogger, readSettingsOrExit } from '@baobabpost/common'
import { Effect } from 'effect'
import { createStandInPlatform, STAND_IN_PLATFORM_DEFAULTS, type StandInPlatform } from './stand-in-platform.js'
import { standInPlatformSettings } from './stand-in-platform-settings.js'

const VERSION = '0.1.0'

const settings = readSettingsOrExit(
  'baobabpost-stand-in-platform', "Stand-in for the platform's log, for tests and trials", VERSION,
  standInPlatformSettings
)
const logger = createLogger({ level: 'info', fields: { role: 'stand-in-platform' } })

const acquirePlatform = Effect.promise(async () => await createStandInPlatform({
  ...STAND_IN_PLATFORM_DEFAULTS,
  port: settings.port,
  maximumAgeMilliseconds: settings.retentionMilliseconds,
  maximumRecords: settings.retentionRecords,
  appendMilliseconds: settings.appendMilliseconds,
  maximumAppendsPerSecond: settings.appendsPerSecond
}))

const releasePlatform = (platform: StandInPlatform): Effect.Effect<void> =>
  Effect.promise(async () => { await platform.close() })

const stopSignal = Effect.callback<void>(resume => {
  const resumeProgram = (): void => { resume(Effect.void) }
  process.once('SIGTERM', resumeProgram)
  process.once('SIGINT', resumeProgram)
})

const program = Effect.gen(function * () {
  const platform = yield * Effect.acquireRelease(acquirePlatform, releasePlatform)
  logger.info('listening', { address: platform.address })
  yield * stopSignal
  logger.info('stopped')
})

Effect.runPromise(Effect.scoped(program)).catch((error: unknown) => {
  logger.error('stand-in platform failed', { detail: String(error) })
  process.exitCode = 1
})
