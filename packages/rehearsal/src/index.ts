/** The fleet in one process with injected time: leased upstreams, calls in memory, faults and checks. */
export * from './create-fleet.js'
export * from './desk-load.js'
export * from './leased-upstream.js'
export * from './memory-calls.js'
export * from './run-ledger.js'
