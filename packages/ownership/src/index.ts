/** Which entry owns which partition of submission keys: claims, owner leases, takeover. */
export type * from './ownership.js'
