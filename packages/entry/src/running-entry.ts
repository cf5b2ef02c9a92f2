/** Runs an entry in a process: connects its decision logic to links, the platform's log, callers and the clock. */
import type { Server } from 'node:http'
import type { AddressInfo } from 'node:net'
import { createAccess, createKeySource, readCertificates, readKeySettings } from '@baobabpost/access'
import { createClientGuards, reportClosings, reportReadings } from '@baobabpost/client-limits'
import {
  createEntryIdentity, createInvariants, createLogger, createMetrics, createRandom, type EntryIdentity, type Logger,
  type Metrics
} from '@baobabpost/common'
import { createLink, type Link, type LinkStatistics } from '@baobabpost/link'
import { createPlatformLogClient, type PlatformLogClient } from '@baobabpost/platform-log'
import { createEntryCore, type EntryCore } from './entry-core.js'
import { createCallerServer } from './http/caller-server.js'
import { createRoutes } from './routes.js'
import type { EntrySettings } from './settings.js'

const TICK_INTERVAL_MILLISECONDS = 50
const STOP_POLL_INTERVAL_MILLISECONDS = 20
const KEY_REFRESH_INTERVAL_MILLISECONDS = 2_000
/** Time between reporting unready and closing, during which the load balancer stops routing callers here. */
const UNREADY_DELAY_MILLISECONDS = 200
/** Share of each server in what clients may make the process hold; a link holds one of its largest batches. */
const CLIENT_SHARES = { callers: 0.5, links: 0.5 }
/** Maximum wait for the append that removes this entry's registration. */
const LEAVE_TIMEOUT_MILLISECONDS = 2_000

export interface RunningEntry {
  readonly identity: EntryIdentity
  /** `http://IP:PORT` for callers and operators. */
  readonly url: string
  /** `IP:PORT` of the link. */
  readonly linkAddress: string
  readonly core: EntryCore
  readonly linkStatistics: () => LinkStatistics
  /** Number of violations of asserted invariants so far. */
  readonly violationCount: () => number
  /** Graceful shutdown: reports unready, hands partitions over, finishes the work in flight, then closes. */
  readonly stop: () => Promise<void>
  /** Closes at once without notifying other processes, as in a crash; for tests. */
  readonly kill: () => Promise<void>
}

function splitAddress (address: string): { host: string, port: number } {
  const separator = address.lastIndexOf(':')
  return { host: address.slice(0, separator), port: Number(address.slice(separator + 1)) }
}

function listen (server: Server, address: string): Promise<string> {
  const { host, port } = splitAddress(address)
  return new Promise((resolve, reject) => {
    server.once('error', reject)
    server.listen(port, host, () => { resolve(`${host}:${(server.address() as AddressInfo).port}`) })
  })
}

function createEntryMetrics (settings: EntrySettings): Metrics {
  if (settings.metricsAddress === '') return createMetrics({ role: 'entry' })
  return createMetrics({ ...splitAddress(settings.metricsAddress), role: 'entry' })
}

function seedFrom (identity: EntryIdentity): number {
  return Number.parseInt(identity.slice(-8), 16) | 0
}

/** Returns faults in keys and certificates, which the schemas of the settings cannot detect. */
export function findFileFaults (settings: EntrySettings): readonly string[] {
  const { faults } = readKeySettings({ text: settings.accessKeys, file: settings.accessKeyFile })
  const certificates = readCertificates(settings)
  return certificates.kind === 'fault' ? [...faults, certificates.fault] : faults
}

/** Starts an entry; resolves once it listens. */
export async function startEntry (settings: EntrySettings): Promise<RunningEntry> {
  const identity = createEntryIdentity(settings.name)
  const logger: Logger = createLogger({ level: settings.logLevel, fields: { entry: identity } })
  const metrics = createEntryMetrics(settings)
  const invariants = createInvariants((invariant, detail) => {
    logger.error('invariant violated', { invariant, detail })
    metrics.count('invariants.violated.count', 1, invariant)
  })
  const now = (): number => Date.now()
  const clients = createClientGuards({
    limits: { memoryMegabytes: settings.memoryLimitMegabytes, descriptors: settings.descriptorLimit },
    shares: CLIENT_SHARES,
    onClosings: closings => { reportClosings(logger, metrics, closings) },
    now: () => performance.now()
  })
  let isFlushScheduled = false
  let isClosed = false

  const link: Link = await createLink({
    identity,
    listenAddress: settings.linkAddress,
    ...(settings.advertisedLinkAddress === '' ? {} : { advertisedAddress: settings.advertisedLinkAddress }),
    keys: settings.linkKeys,
    logger,
    metrics,
    guard: clients.guards.links,
    onMessage: (from, _address, message) => {
      if (isClosed) return
      core.receive(from, message, now())
      scheduleFlush()
    },
    onUndelivered: (to, message) => {
      if (isClosed) return
      core.handleUndelivered(to, message, now())
      scheduleFlush()
    }
  })
  const log: PlatformLogClient = createPlatformLogClient({
    address: settings.platformLogAddress,
    author: identity,
    logger,
    random: createRandom(seedFrom(identity)),
    listener: {
      onBatch: batch => {
        core.handleLogRead(batch, now())
        scheduleFlush()
      },
      onAppendOutcome: outcome => {
        if (outcome.kind !== 'appended') logger.warn('append not confirmed by the platform log', { outcome: outcome.kind })
      }
    }
  })
  const core: EntryCore = createEntryCore({
    settings: {
      identity,
      address: link.address,
      failureDomain: settings.failureDomain,
      policy: settings.policy,
      keyWindowMilliseconds: settings.keyWindowMilliseconds,
      clockSkewMilliseconds: settings.clockSkewMilliseconds,
      logRetentionMilliseconds: settings.logRetentionMilliseconds,
      maximumQueuedTasks: settings.maximumQueuedTasks
    },
    startedAt: now(),
    send: link.send,
    append: changes => log.append(changes),
    logStatus: log.status,
    sendToSeeds: message => {
      for (const address of settings.peerAddresses) link.sendToAddress(address, message)
    },
    setPeer: link.setPeer,
    forgetPeer: link.forgetPeer,
    random: createRandom(seedFrom(identity) + 1),
    invariants,
    logger,
    metrics
  })

  /** Schedules a flush when a caller begins an operation, so that its tasks do not wait for the next tick. */
  const flushingCore: EntryCore = {
    ...core,
    beginOperation (request, at) {
      const id = core.beginOperation(request, at)
      scheduleFlush()
      return id
    },
    beginCall (call, at) {
      const id = core.beginCall(call, at)
      scheduleFlush()
      return id
    }
  }

  const keySettings = { text: settings.accessKeys, file: settings.accessKeyFile }
  const access = createAccess({ keys: readKeySettings(keySettings).keys })
  const keySource = createKeySource({ settings: keySettings, access, logger })
  const certificates = readCertificates(settings)
  const server = createCallerServer({
    routes: createRoutes({ core: flushingCore, now, invariants }),
    access,
    logger,
    metrics,
    now,
    guard: clients.guards.callers,
    ...(certificates.kind === 'tls' ? { transportSecurity: certificates.options } : {})
  })

  function scheduleFlush (): void {
    if (isFlushScheduled || isClosed) return
    isFlushScheduled = true
    setImmediate(flush)
  }

  function flush (): void {
    isFlushScheduled = false
    if (isClosed) return
    if (core.flush(now())) scheduleFlush()
  }

  core.start(now())
  log.start()
  let lastTickAt = now()
  const ticker = setInterval(() => {
    metrics.timing('loop.lag.milliseconds', Math.max(0, now() - lastTickAt - TICK_INTERVAL_MILLISECONDS))
    lastTickAt = now()
    reportReadings(metrics, clients.readings())
    try {
      core.tick(now())
    } catch (failure) {
      logger.error('tick failed', { reason: failure instanceof Error ? failure.stack : String(failure) })
    }
    scheduleFlush()
  }, TICK_INTERVAL_MILLISECONDS)
  const keyTimer = setInterval(keySource.refresh, KEY_REFRESH_INTERVAL_MILLISECONDS)
  const callerAddress = await listen(server, settings.listenAddress)
  const scheme = certificates.kind === 'tls' ? 'https' : 'http'
  logger.info('entry listens', { callers: callerAddress, link: link.address, failureDomain: settings.failureDomain })

  async function waitUntil (condition: () => boolean, timeoutMilliseconds: number): Promise<boolean> {
    const deadline = now() + timeoutMilliseconds
    while (!condition()) {
      if (now() >= deadline) return false
      await new Promise(resolve => setTimeout(resolve, STOP_POLL_INTERVAL_MILLISECONDS))
    }
    return true
  }

  async function close (): Promise<void> {
    isClosed = true
    clearInterval(ticker)
    clearInterval(keyTimer)
    log.close()
    server.closeAllConnections()
    await new Promise<void>(resolve => { server.close(() => { resolve() }) })
    await link.close()
    metrics.close()
  }

  async function stop (): Promise<void> {
    logger.info('entry stops')
    core.stop(now())
    await new Promise(resolve => setTimeout(resolve, UNREADY_DELAY_MILLISECONDS))
    if (!await waitUntil(core.isReadyToLeave, settings.stopTimeoutMilliseconds)) {
      const { operations, calls, ownership } = core.components
      logger.error('graceful shutdown timed out with work unfinished', {
        operations: operations.pendingCount(), calls: calls.pendingCount(), partitions: ownership.ownedCount()
      })
    }
    core.leave(now())
    await waitUntil(() => log.status().pendingAppends === 0, LEAVE_TIMEOUT_MILLISECONDS)
    server.closeIdleConnections()
    await close()
    logger.info('entry stopped')
  }

  return {
    identity,
    url: `${scheme}://${callerAddress}`,
    linkAddress: link.address,
    core,
    linkStatistics: link.statistics,
    violationCount: invariants.violations,
    stop,
    kill: close
  }
}
