/** Asks other entries for the configuration while the store can not be read. */
import type { EventLogger } from '@baobabpost/common'

/**
 * Interval of the questions of an entry that has a configuration. An answer without a newer record is a few bytes, and
 * three questions fit into the shortest time within which a configuration has to be in force.
 */
const KNOWN_INTERVAL_MILLISECONDS = 600
/** Interval of the questions of an entry that has no configuration and can not serve until it gets one. */
const UNKNOWN_INTERVAL_MILLISECONDS = 100

export interface PeerConfigurationOptions {
  /** Addresses of other entries. */
  readonly addresses: () => readonly string[]
  /** Version in force; undefined before the first configuration. */
  readonly version: () => number | undefined
  /** Whether the entry knows all that it needs to serve; it asks more often while it does not. */
  readonly isComplete?: () => boolean
  /** Asks an entry for a record that is newer than `version`; resolves to undefined if it has none. */
  readonly ask: (address: string, version: number | undefined) => Promise<string | undefined>
  readonly onRecord: (record: string, address: string) => void
  readonly logger: EventLogger
  /** Steady clock in milliseconds. */
  readonly now: () => number
}

/**
 * Creates the part of an entry that learns the configuration from its peers. It asks one peer at a time, each in turn:
 * a record may be large, and copies from several peers would fill the link that the calls to agents need.
 *
 * @returns a function to call every 100 ms while the store can not be read.
 * @example
 * const askNextPeer = createPeerConfiguration({ addresses, version, ask, onRecord, logger, now })
 * askNextPeer()
 */
export function createPeerConfiguration (options: PeerConfigurationOptions): () => void {
  const { addresses, version, ask, onRecord, logger, now } = options
  let isAsking = false
  let askedAt = -Infinity
  let lastAddress = ''

  function nextAddress (): string | undefined {
    const ordered = [...addresses()].sort()
    return ordered.find(address => address > lastAddress) ?? ordered[0]
  }

  async function askPeer (address: string): Promise<void> {
    isAsking = true
    try {
      const record = await ask(address, version())
      if (record !== undefined) onRecord(record, address)
    } catch (failure) {
      logger.debug('peer gave no configuration', { address, reason: String(failure) })
    } finally {
      isAsking = false
    }
  }

  return () => {
    const isComplete = version() !== undefined && options.isComplete?.() !== false
    const interval = !isComplete ? UNKNOWN_INTERVAL_MILLISECONDS : KNOWN_INTERVAL_MILLISECONDS
    if (isAsking || now() - askedAt < interval) return
    const address = nextAddress()
    if (address === undefined) return
    askedAt = now()
    lastAddress = address
    askPeer(address).catch((failure: unknown) => { logger.error('store reader failed', { reason: String(failure) }) })
  }
}
