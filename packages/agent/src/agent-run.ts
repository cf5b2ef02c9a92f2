/** One run of an agent under one identity: the link, the decisions and the upstream wired together. */
import {
  createAgentIdentity, type AgentIdentity, type EntryIdentity, type Invariants, type Logger, type Metrics
} from '@baobabpost/common'
import { createExecution, type Execution } from '@baobabpost/execution'
import { createLink, type Link, type LinkStatistics } from '@baobabpost/link'
import type { AgentSettings } from './agent-settings.js'
import { createUpstreamClient } from './upstream-client.js'

const TICK_MILLISECONDS = 100

/** One run. */
export interface AgentRun {
  readonly identity: AgentIdentity
  readonly address: string
  readonly execution: Execution
  readonly linkStatistics: () => LinkStatistics
  /** Sends at the end of this turn of the loop what the decisions have ready. */
  planFlush: () => void
  close: () => Promise<void>
}

/** What a run needs. */
export interface AgentRunOptions {
  readonly settings: AgentSettings
  readonly logger: Logger
  readonly metrics: Metrics
  readonly invariants: Invariants
  /** Called about every 100 ms. */
  readonly onTick: () => void
}

/** Wires the decisions to the link and the upstream. */
function createWiredExecution (options: AgentRunOptions, identity: AgentIdentity, link: Link, planFlush: () => void) {
  const { settings, logger, metrics, invariants } = options
  const upstream = createUpstreamClient({
    address: settings.upstreamAddress,
    connections: settings.connections,
    idleMilliseconds: settings.upstreamIdleMilliseconds,
    onCompleted (submission, index, result) {
      execution.handleResult(submission, index, result, Date.now())
      planFlush()
    },
    onReachable () {
      execution.handleUpstreamReachable(Date.now())
      planFlush()
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
 * @throws Error where the address can't be listened on.
 */
export async function startAgentRun (options: AgentRunOptions): Promise<AgentRun> {
  const { settings, logger, metrics } = options
  const identity = createAgentIdentity(settings.name)
  let flushPlanned = false

  function planFlush (): void {
    if (flushPlanned) return
    flushPlanned = true
    setImmediate(() => {
      flushPlanned = false
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
    onMessage (from, _address, message) {
      execution.receive(from as EntryIdentity, message, Date.now())
      planFlush()
    }
  })
  const { execution, upstream } = createWiredExecution(options, identity, link, planFlush)

  let tickedAt = Date.now()
  function tick (): void {
    const now = Date.now()
    metrics.timing('loop.lag.milliseconds', Math.max(0, now - tickedAt - TICK_MILLISECONDS))
    tickedAt = now
    execution.tick(now)
    planFlush()
    options.onTick()
  }

  tick()
  const ticking = setInterval(tick, TICK_MILLISECONDS)
  return {
    identity,
    address: link.address,
    linkStatistics: link.statistics,
    execution,
    planFlush,
    async close () {
      clearInterval(ticking)
      upstream.close()
      await link.close()
    }
  }
}
