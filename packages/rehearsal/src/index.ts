/** In-process simulation of a fleet with injected time: leased upstreams, an in-memory network, faults and checks. */
export * from './create-fleet.js'
export * from './desk-load.js'
export * from './leased-upstream.js'
export * from './memory-calls.js'
export * from './run-ledger.js'
