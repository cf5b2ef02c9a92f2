#!/usr/bin/env node
/** Binary `baobabpost-agent`. */
import { readSettingsOrExit } from '@baobabpost/common'
import { Effect, Exit } from 'effect'
import { agentSettings } from './agent-settings.js'
import { startAgent } from './start-agent.js'

const VERSION = '0.1.0'

const settings = readSettingsOrExit(
  'baobabpost-agent', 'Agent of a baobabpost fleet, beside one upstream', VERSION, agentSettings
)

const program = Effect.scoped(Effect.gen(function * () {
  yield * Effect.acquireRelease(
    Effect.tryPromise(async () => await startAgent(settings)),
    agent => Effect.promise(async () => { await agent.stop() })
  )
  yield * Effect.never
}))

const fiber = Effect.runFork(program)
fiber.addObserver(exit => {
  const failed = Exit.isFailure(exit) && !Exit.hasInterrupts(exit)
  if (failed) process.stderr.write(`baobabpost-agent: ${String(exit.cause)}\n`)
  process.exit(failed ? 1 : 0)
})

for (const signal of ['SIGTERM', 'SIGINT'] as const) {
  process.once(signal, () => { fiber.interruptUnsafe() })
}
