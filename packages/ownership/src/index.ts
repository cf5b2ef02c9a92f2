/** Which entry owns which partition of submission keys: claims, owner leases, takeover. */
export type * from './ownership.js'
export * from './create-ownership.js'
export * from './rendezvous.js'
export { KEPT_OWNER_LEASES } from './owner-leases.js'
