/** Runs an agent within a process, and restarts it under a new identity after the fleet has replaced it. */
import { createInvariants, createLogger, createMetrics, type Logger, type Metrics } from '@baobabpost/common'
import type { Execution } from '@baobabpost/execution'
import { startAgentRun, type AgentRun } from './agent-run.js'
import type { AgentSettings } from './agent-settings.js'
import type { RunningAgent } from './running-agent.js'

/** Maximum time for which a replaced agent waits for the acknowledgement of its last outcomes. */
const MAXIMUM_DEPARTED_WAIT_MILLISECONDS = 2_000
/** Minimum duration of a graceful shutdown, so that a lost announcement is repeated. */
const MINIMUM_SHUTDOWN_MILLISECONDS = 600
const REJOIN_RETRY_MILLISECONDS = 500
const DRAIN_POLL_MILLISECONDS = 20
/** Time for which a dispatch may still arrive after its entry learned that the agent is leaving. */
const DRAINED_HOLD_MILLISECONDS = 300

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
 * Waits until the agent is drained or the maximum time has passed; returns whether it is drained. The agent has to stay
 * drained for a while, because dispatches may be in transit when the last entry learns that the agent is leaving.
 */
async function waitUntilDrained (
  execution: Execution, minimumMilliseconds: number, maximumMilliseconds: number
): Promise<boolean> {
  const startedAt = Date.now()
  let drainedSince: number | undefined
  for (;;) {
    const now = Date.now()
    drainedSince = execution.isDrained() ? drainedSince ?? now : undefined
    const isSettled = drainedSince !== undefined && now - drainedSince >= DRAINED_HOLD_MILLISECONDS
    if (isSettled && now - startedAt >= minimumMilliseconds) return true
    if (now - startedAt >= maximumMilliseconds) return execution.isDrained()
    await pause(DRAIN_POLL_MILLISECONDS)
  }
}

/** Logs what was left when a graceful shutdown reached its maximum time. */
function logIncompleteShutdown (logger: Logger, execution: Execution): void {
  const { runningTasks, queuedTasks, unacknowledgedOutcomes } = execution.snapshot()
  logger.error('graceful shutdown timed out before the agent was drained', { runningTasks, queuedTasks, unacknowledgedOutcomes })
}

/**
 * Starts an agent; resolves once it listens. Several agents may live in one process.
 *
 * @throws Error if the agent cannot listen on the address.
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
  let hasStarted = false
  let departedAt: number | undefined
  let rejoining: Promise<void> | undefined
  let stopping: Promise<void> | undefined

  async function startRun (): Promise<void> {
    run = await startAgentRun({ settings, logger, metrics, invariants, onTick })
    hasStarted = true
    departedAt = undefined
    logger.info('agent runs', { identity: run.identity, address: run.address, upstream: settings.upstreamAddress })
  }

  function onTick (): void {
    if (rejoining !== undefined || stopping !== undefined || !hasStarted) return
    const { state, runningTasks } = run.execution.snapshot()
    if (state !== 'departed' || runningTasks > 0) return
    departedAt ??= Date.now()
    if (!run.execution.isDrained() && Date.now() - departedAt < MAXIMUM_DEPARTED_WAIT_MILLISECONDS) return
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
        logger.error('restart after replacement failed; will be retried', { reason: String(error) })
        await pause(REJOIN_RETRY_MILLISECONDS)
      }
    }
  }

  async function stop (): Promise<void> {
    await rejoining
    run.execution.leave(Date.now())
    run.scheduleFlush()
    const isDrained = await waitUntilDrained(
      run.execution, MINIMUM_SHUTDOWN_MILLISECONDS, settings.stopTimeoutMilliseconds
    )
    if (!isDrained) logIncompleteShutdown(logger, run.execution)
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
