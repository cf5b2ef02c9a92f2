/** Exchanges JSON-RPC messages between the system's processes in authenticated batches over persistent HTTP. */
export type { Link, LinkOptions, LinkStatistics } from './link.js'
export { createLink } from './create-link.js'
export { signBatch, verifyBatch, type SignedSender } from './signature.js'
export { LINK_HEADERS, LINK_PATH } from './outgoing-peer.js'
