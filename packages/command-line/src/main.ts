#!/usr/bin/env node
/** Entry point of `baobabpost`, the command line for operators. */
import { flush, run } from '@oclif/core'
import { EXIT_CODES } from './exit-codes.js'

/** Reports an error that occurred before a command ran, such as an unknown command. */
function reportUsage (error: unknown): void {
  process.stderr.write(`baobabpost: ${error instanceof Error ? error.message : String(error)}\n`)
  process.stderr.write('See: baobabpost --help\n')
  process.exitCode = EXIT_CODES.usage.code
}

try {
  await run(process.argv.slice(2), import.meta.url)
} catch (error) {
  reportUsage(error)
} finally {
  await flush()
}
