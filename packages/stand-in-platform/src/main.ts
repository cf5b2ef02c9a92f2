#!/usr/bin/env node
/** The binary `baobabpost-stand-in-platform`: the stand-in as a process of its own, until SIGTERM or SIGINT. */
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

const start = Effect.promise(async () => await createStandInPlatform({
  ...STAND_IN_PLATFORM_DEFAULTS,
  port: settings.port,
  maximumAgeMilliseconds: settings.retentionMilliseconds,
  maximumRecords: settings.retentionRecords,
  appendMilliseconds: settings.appendMilliseconds,
  maximumAppendsPerSecond: settings.appendsPerSecond
}))

const stop = (platform: StandInPlatform): Effect.Effect<void> => Effect.promise(async () => { await platform.close() })

const signalled = Effect.callback<void>(resume => {
  const finish = (): void => { resume(Effect.void) }
  process.once('SIGTERM', finish)
  process.once('SIGINT', finish)
})

const program = Effect.gen(function * () {
  const platform = yield * Effect.acquireRelease(start, stop)
  logger.info('listening', { address: platform.address })
  yield * signalled
  logger.info('stopped')
})

Effect.runPromise(Effect.scoped(program)).catch((error: unknown) => {
  logger.error('ended by a fault', { detail: String(error) })
  process.exitCode = 1
})
