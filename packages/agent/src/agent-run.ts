/** One run of an agent under one identity: connects the link, the execution logic and the upstream. */
import { createClientGuards, reportClosings, reportReadings } from '@baobabpost/client-limits'
import {
  createAgentIdentity, type AgentIdentity, type EntryIdentity, type Invariants, type Logger, type Metrics
} from '@baobabpost/common'
import { createExecution, type Execution } from '@baobabpost/execution'
import { createLink, type Link, type LinkStatistics } from '@baobabpost/link'
import type { AgentSettings } from './agent-settings.js'
import { createUpstreamClient } from './upstream-client.js'

const TICK_MILLISECONDS = 100

export interface AgentRun {
  readonly identity: AgentIdentity
  readonly address: string
  readonly execution: Execution
  readonly linkStatistics: () => LinkStatistics
  /** Schedules a flush of the execution logic at the end of this turn of the event loop. */
  scheduleFlush: () => void
  close: () => Promise<void>
}

export interface AgentRunOptions {
  readonly settings: AgentSettings
  readonly logger: Logger
  readonly metrics: Metrics
  readonly invariants: Invariants
  /** Called about every 100 ms. */
  readonly onTick: () => void
}

/** Creates the execution logic with ports to the link and the upstream. */
function createConnectedExecution (
  options: AgentRunOptions, identity: AgentIdentity, link: Link, scheduleFlush: () => void
) {
  const { settings, logger, metrics, invariants } = options
  const upstream = createUpstreamClient({
    address: settings.upstreamAddress,
    connections: settings.connections,
    idleMilliseconds: settings.upstreamIdleMilliseconds,
    onResult (submission, index, result) {
      execution.handleResult(submission, index, result, Date.now())
      scheduleFlush()
    },
    onReachable () {
      execution.handleUpstreamReachable(Date.now())
      scheduleFlush()
    }
  })
  const execution = createExecution({
    identity,
    address: link.address,
    service: settings.service,
    failureDomain: settings.failureDomain,
    slots: Math.min(settings.slots, settings.connections),
    connections: settings.connections,
    keyWindowMilliseconds: settings.keyWindowMilliseconds,
    leaseMilliseconds: settings.leaseMilliseconds,
    clockSkewMilliseconds: settings.clockSkewMilliseconds,
    outbox: {
      send: (to, message) => { link.send(to, message) },
      append: () => {}
    },
    upstream,
    entries: {
      setEntry: (entry, address) => { link.setPeer(entry, address) },
      forgetEntry: entry => { link.forgetPeer(entry) },
      sendToSeeds: message => {
        for (const address of settings.entryAddresses) link.sendToAddress(address, message)
      }
    },
    invariants,
    logger,
    metrics
  })
  return { execution, upstream }
}

/**
 * Starts one run of an agent; resolves once it listens.
 *
 * @throws Error if the agent cannot listen on the address.
 */
export async function startAgentRun (options: AgentRunOptions): Promise<AgentRun> {
  const { settings, logger, metrics } = options
  const identity = createAgentIdentity(settings.name)
  const clients = createClientGuards({
    limits: { memoryMegabytes: settings.memoryLimitMegabytes, descriptors: settings.descriptorLimit },
    shares: { links: 1 },
    onClosings: closings => { reportClosings(logger, metrics, closings) },
    now: () => performance.now()
  })
  let isFlushScheduled = false

  function scheduleFlush (): void {
    if (isFlushScheduled) return
    isFlushScheduled = true
    setImmediate(() => {
      isFlushScheduled = false
      execution.flush(Date.now())
    })
  }

  const link = await createLink({
    identity,
    listenAddress: settings.listenAddress,
    ...(settings.advertisedAddress === '' ? {} : { advertisedAddress: settings.advertisedAddress }),
    keys: settings.linkKeys,
    logger,
    metrics,
    guard: clients.guards.links,
    onMessage (from, _address, message) {
      execution.receive(from as EntryIdentity, message, Date.now())
      scheduleFlush()
    }
  })
  const { execution, upstream } = createConnectedExecution(options, identity, link, scheduleFlush)

  let lastTickAt = Date.now()
  function tick (): void {
    const now = Date.now()
    metrics.timing('loop.lag.milliseconds', Math.max(0, now - lastTickAt - TICK_MILLISECONDS))
    lastTickAt = now
    reportReadings(metrics, clients.readings())
    try {
      execution.tick(now)
      options.onTick()
    } catch (failure) {
      logger.error('tick failed', { reason: failure instanceof Error ? failure.stack : String(failure) })
    }
    scheduleFlush()
  }

  tick()
  const tickTimer = setInterval(tick, TICK_MILLISECONDS)
  return {
    identity,
    address: link.address,
    linkStatistics: link.statistics,
    execution,
    scheduleFlush,
    async close () {
      clearInterval(tickTimer)
      upstream.close()
      await link.close()
    }
  }
}
