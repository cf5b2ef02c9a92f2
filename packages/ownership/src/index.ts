/** Which entry owns which partition of submission keys: claims, owner leases, takeover. */
export type * from './ownership.js'
export * from './create-ownership.js'
export * from './rendezvous.js'
