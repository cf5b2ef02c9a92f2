/** JSON-RPC links between the system's processes over kept-alive HTTP, batched and authenticated. */
export type { Link, LinkOptions, LinkStatistics } from './link.js'
export { createLink } from './create-link.js'
export { signBatch, verifyBatch, type SignedSender } from './signature.js'
export { LINK_HEADERS, LINK_PATH } from './outgoing-peer.js'
