#!/usr/bin/env node
/** The binary `baobabpost-entry`. */
import { EXIT_BAD_SETTINGS, readSettingsOrExit, VERSION } from '@baobabpost/common'
import { Effect } from 'effect'
import { findFileFaults, startEntry } from './running-entry.js'
import { ENTRY_SETTINGS } from './settings.js'

const settings = readSettingsOrExit('baobabpost-entry', 'Entry of a baobabpost fleet.', VERSION, ENTRY_SETTINGS)

const faults = findFileFaults(settings)
if (faults.length > 0) {
  for (const fault of faults) process.stderr.write(`baobabpost-entry: ${fault}\n`)
  process.exit(EXIT_BAD_SETTINGS)
}

const entry = Effect.acquireRelease(
  Effect.promise(() => startEntry(settings)),
  running => Effect.promise(() => running.stop())
)

const stopSignal = Effect.callback<void>(resume => {
  for (const signal of ['SIGTERM', 'SIGINT'] as const) process.once(signal, () => { resume(Effect.void) })
})

const program = Effect.scoped(Effect.gen(function * () {
  yield * entry
  yield * stopSignal
}))

Effect.runPromise(program).then(
  () => { process.exit(0) },
  (failure: unknown) => {
    process.stderr.write(`baobabpost-entry: ${String(failure)}\n`)
    process.exit(1)
  })
