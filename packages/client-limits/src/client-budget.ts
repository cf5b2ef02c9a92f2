/** The budget of a process for all of its clients, and the part of each of its servers. */
import type { ClientLimits } from './client-account.js'
import { CONNECTION_BYTES } from './client-account.js'

const BYTES_PER_MEGABYTE = 1_048_576
/** Part of the memory that clients may use. The heap, with jobs and routes, and the program itself take the rest. */
const MEMORY_SHARE = 0.25
/** Part of the bytes that connections may use, so that bodies find room beside any number of connections. */
const CONNECTIONS_SHARE = 0.75
/** Part of the descriptors that clients may use. The connections that the process opens take the rest. */
const DESCRIPTORS_SHARE = 0.85
/** Descriptors that the process needs for files. */
const FILE_DESCRIPTORS = 200
/** Smallest number of connections of a server. */
const MINIMUM_CONNECTIONS = 4

/** What a process may use; undefined where nobody says. */
export interface ProcessLimits {
  readonly memoryMegabytes: number | undefined
  readonly descriptors: number | undefined
}

/** Limits of a process whose limits nobody says. */
export const DEFAULT_PROCESS_LIMITS = { memoryMegabytes: 350, descriptors: 4_100 }

/**
 * Returns what the clients of a process may make it hold together: a quarter of its memory, and 0.85 of the descriptors
 * that files leave.
 *
 * @example
 * clientLimitsOf({ memoryMegabytes: 350, descriptors: 4_100 }) // { connections: 3_315, bytes: 91_750_400 }
 */
export function clientLimitsOf (limits: ProcessLimits): ClientLimits {
  const {
    memoryMegabytes = DEFAULT_PROCESS_LIMITS.memoryMegabytes, descriptors = DEFAULT_PROCESS_LIMITS.descriptors
  } = limits
  return {
    connections: Math.floor(Math.max(0, descriptors - FILE_DESCRIPTORS) * DESCRIPTORS_SHARE),
    bytes: Math.floor(memoryMegabytes * BYTES_PER_MEGABYTE * MEMORY_SHARE)
  }
}

/**
 * Returns the part of a server in the limits of its process. The parts of all servers are fixed, so that a crowd at one
 * of them takes nothing from the others.
 *
 * @param share - 0 to 1; the shares of all servers of a process are 1 together.
 */
export function limitsOfServer (limits: ClientLimits, share: number): ClientLimits {
  const bytes = Math.floor(limits.bytes * share)
  const connections = Math.min(limits.connections * share, bytes * CONNECTIONS_SHARE / CONNECTION_BYTES)
  return { bytes, connections: Math.max(MINIMUM_CONNECTIONS, Math.floor(connections)) }
}
