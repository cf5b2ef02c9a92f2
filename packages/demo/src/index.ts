/** A complete fleet in one process on loopback, and the demo workload that runs on it. */
export * from './caller.js'
export * from './fleet.js'
export * from './ideal-response-time.js'
export * from './demo-workload.js'
