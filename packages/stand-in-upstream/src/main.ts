#!/usr/bin/env node
/** Binary `baobabpost-stand-in-upstream`. */
import { readSettingsOrExit } from '@baobabpost/common'
import { createStandInUpstream } from './stand-in-upstream.js'
import { standInUpstreamSettings } from './stand-in-upstream-settings.js'

const VERSION = '0.1.0'

const settings = readSettingsOrExit(
  'baobabpost-stand-in-upstream', 'Stand-in for an upstream', VERSION, standInUpstreamSettings)

const upstream = await createStandInUpstream({ ...settings, port: settings.listenPort })
process.stdout.write(`${JSON.stringify({ name: settings.name, address: upstream.address })}\n`)

for (const signal of ['SIGTERM', 'SIGINT'] as const) {
  process.once(signal, () => {
    upstream.close().then(() => process.exit(0), () => process.exit(1))
  })
}
