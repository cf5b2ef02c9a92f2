/** Runs an agent within a process, and brings it back under a new identity after the fleet has replaced it. */
import { createInvariants, createLogger, createMetrics, type Logger, type Metrics } from '@baobabpost/common'
import type { Execution } from '@baobabpost/execution'
import { startAgentRun, type AgentRun } from './agent-run.js'
import type { AgentSettings } from './agent-settings.js'
import type { RunningAgent } from './running-agent.js'

/** Longest wait of a replaced agent for acknowledgements of its last outcomes. */
const DEPARTED_WAIT_MILLISECONDS = 2_000
/** Shortest planned stop, so that an announcement that gets lost is repeated. */
const SHORTEST_STOP_MILLISECONDS = 600
const REJOIN_PAUSE_MILLISECONDS = 500
const POLL_MILLISECONDS = 20
/** Time for which a dispatch may be under way after its entry learned that the agent leaves. */
const LINGER_MILLISECONDS = 300

async function pause (milliseconds: number): Promise<void> {
  await new Promise<void>(resolve => { setTimeout(resolve, milliseconds) })
}

function createAgentMetrics (address: string): Metrics {
  if (address === '') return createMetrics({ role: 'agent' })
  const separator = address.lastIndexOf(':')
  return createMetrics({
    role: 'agent',
    host: address.slice(0, separator),
    port: Number(address.slice(separator + 1))
  })
}

/**
 * Waits until all is handed over or the time is up; tells whether all was. What was under way when the last entry
 * learned of the stop may still come, so that it must stay handed over for a while.
 */
async function waitUntilDrained (execution: Execution, shortest: number, longest: number): Promise<boolean> {
  const startedAt = Date.now()
  let drainedSince: number | undefined
  for (;;) {
    const now = Date.now()
    drainedSince = execution.isDrained() ? drainedSince ?? now : undefined
    const isSettled = drainedSince !== undefined && now - drainedSince >= LINGER_MILLISECONDS
    if (isSettled && now - startedAt >= shortest) return true
    if (now - startedAt >= longest) return execution.isDrained()
    await pause(POLL_MILLISECONDS)
  }
}

/** Logs what a stop left behind when its time was up. */
function logLeftover (logger: Logger, execution: Execution): void {
  const { runningTasks, queuedTasks, unacknowledgedOutcomes } = execution.snapshot()
  logger.error('stopped before all was handed over', { runningTasks, queuedTasks, unacknowledgedOutcomes })
}

/**
 * Starts an agent; resolves once it listens. Several agents may live in one process.
 *
 * @throws Error where the address can't be listened on.
 * @example
 * const agent = await startAgent(settings)
 * await agent.stop()
 */
export async function startAgent (settings: AgentSettings): Promise<RunningAgent> {
  const logger = createLogger({ level: settings.logLevel, fields: { agent: settings.name } })
  const metrics = createAgentMetrics(settings.metricsAddress)
  const invariants = createInvariants((invariant, detail) => {
    logger.error('invariant violated', { invariant, detail })
    metrics.count('invariants.violated.count', 1, invariant)
  })
  let run: AgentRun
  let started = false
  let departedAt: number | undefined
  let rejoining: Promise<void> | undefined
  let stopping: Promise<void> | undefined

  async function startRun (): Promise<void> {
    run = await startAgentRun({ settings, logger, metrics, invariants, onTick })
    started = true
    departedAt = undefined
    logger.info('agent runs', { identity: run.identity, address: run.address, upstream: settings.upstreamAddress })
  }

  function onTick (): void {
    if (rejoining !== undefined || stopping !== undefined || !started) return
    const { state, runningTasks } = run.execution.snapshot()
    if (state !== 'departed' || runningTasks > 0) return
    departedAt ??= Date.now()
    if (!run.execution.isDrained() && Date.now() - departedAt < DEPARTED_WAIT_MILLISECONDS) return
    rejoining = rejoin()
  }

  async function rejoin (): Promise<void> {
    await run.close()
    for (;;) {
      try {
        await startRun()
        rejoining = undefined
        return
      } catch (error) {
        logger.error('could not come back yet', { reason: String(error) })
        await pause(REJOIN_PAUSE_MILLISECONDS)
      }
    }
  }

  async function stop (): Promise<void> {
    await rejoining
    run.execution.leave(Date.now())
    run.planFlush()
    const drained = await waitUntilDrained(run.execution, SHORTEST_STOP_MILLISECONDS, settings.stopTimeoutMilliseconds)
    if (!drained) logLeftover(logger, run.execution)
    await run.close()
    logger.info('agent stopped', { identity: run.identity })
    metrics.close()
  }

  await startRun()
  return {
    identity: () => run.identity,
    address: () => run.address,
    snapshot: () => run.execution.snapshot(),
    linkStatistics: () => run.linkStatistics(),
    violations: invariants.violations,
    async stop () {
      stopping ??= stop()
      await stopping
    }
  }
}
