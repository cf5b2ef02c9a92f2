/** An entry that runs within a process: its decisions joined to links, the platform's log, callers and the clock. */
import type { Server } from 'node:http'
import type { AddressInfo } from 'node:net'
import { createAccess, createKeySource, readCertificates, readKeySettings } from '@baobabpost/access'
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

const TICK_MILLISECONDS = 50
const STOP_POLL_MILLISECONDS = 20
const KEY_REFRESH_MILLISECONDS = 2_000
/** Time between saying unready and closing, in which the balancer takes this entry out. */
const UNREADY_MILLISECONDS = 200
/** Longest wait for the append that removes this entry's registration. */
const LEAVE_MILLISECONDS = 2_000

/** An entry that runs. */
export interface RunningEntry {
  readonly identity: EntryIdentity
  /** `http://IP:PORT` for callers and operators. */
  readonly url: string
  /** `IP:PORT` of the link. */
  readonly linkAddress: string
  readonly core: EntryCore
  readonly linkStatistics: () => LinkStatistics
  /** Violations of asserted invariants so far. */
  readonly violationCount: () => number
  /** Planned stop: unready first, hands partitions over, answers what is in flight, then closes. */
  readonly stop: () => Promise<void>
  /** Ends at once without a word, as a crash does; for tests. */
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

/** Faults of keys and certificates, which the schemas of the settings can't see. */
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
  let flushPlanned = false
  let closed = false

  const link: Link = await createLink({
    identity,
    listenAddress: settings.linkAddress,
    ...(settings.advertisedLinkAddress === '' ? {} : { advertisedAddress: settings.advertisedLinkAddress }),
    keys: settings.linkKeys,
    logger,
    metrics,
    onMessage: (from, _address, message) => {
      if (closed) return
      core.receive(from, message, now())
      planFlush()
    },
    onUndelivered: (to, message) => {
      if (closed) return
      core.undelivered(to, message, now())
      planFlush()
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
        planFlush()
      },
      onAppendOutcome: outcome => {
        if (outcome.kind !== 'appended') logger.warn('append did not settle', { outcome: outcome.kind })
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

  /** What callers begin is dispatched in this turn of the loop and not with the next tick. */
  const promptCore: EntryCore = {
    ...core,
    beginOperation (request, at) {
      const id = core.beginOperation(request, at)
      planFlush()
      return id
    },
    beginCall (call, at) {
      const id = core.beginCall(call, at)
      planFlush()
      return id
    }
  }

  const keySettings = { text: settings.accessKeys, file: settings.accessKeyFile }
  const access = createAccess({ keys: readKeySettings(keySettings).keys })
  const keySource = createKeySource({ settings: keySettings, access, logger })
  const certificates = readCertificates(settings)
  const server = createCallerServer({
    routes: createRoutes({ core: promptCore, now, invariants }),
    access,
    logger,
    metrics,
    now,
    ...(certificates.kind === 'tls' ? { transportSecurity: certificates.options } : {})
  })

  function planFlush (): void {
    if (flushPlanned || closed) return
    flushPlanned = true
    setImmediate(flush)
  }

  function flush (): void {
    flushPlanned = false
    if (closed) return
    if (core.flush(now())) planFlush()
  }

  core.start(now())
  log.start()
  let tickedAt = now()
  const ticker = setInterval(() => {
    metrics.timing('loop.lag.milliseconds', Math.max(0, now() - tickedAt - TICK_MILLISECONDS))
    tickedAt = now()
    core.tick(now())
    planFlush()
  }, TICK_MILLISECONDS)
  const keyTimer = setInterval(keySource.refresh, KEY_REFRESH_MILLISECONDS)
  const callerAddress = await listen(server, settings.listenAddress)
  const scheme = certificates.kind === 'tls' ? 'https' : 'http'
  logger.info('entry listens', { callers: callerAddress, link: link.address, failureDomain: settings.failureDomain })

  async function waitUntil (condition: () => boolean, milliseconds: number): Promise<boolean> {
    const giveUpAt = now() + milliseconds
    while (!condition()) {
      if (now() >= giveUpAt) return false
      await new Promise(resolve => setTimeout(resolve, STOP_POLL_MILLISECONDS))
    }
    return true
  }

  async function close (): Promise<void> {
    closed = true
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
    await new Promise(resolve => setTimeout(resolve, UNREADY_MILLISECONDS))
    if (!await waitUntil(core.isReadyToLeave, settings.stopTimeoutMilliseconds)) {
      const { operations, calls, ownership } = core.components
      logger.error('stop took too long', {
        operations: operations.pending(), calls: calls.pending(), partitions: ownership.ownedCount()
      })
    }
    core.leave(now())
    await waitUntil(() => log.status().pendingAppends === 0, LEAVE_MILLISECONDS)
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
