/** The fleet in one process with injected time: leased upstreams, calls in memory, faults and checks. */
export * from './create-fleet.js'
export * from './counter-workload.js'
export * from './leased-upstream.js'
export * from './memory-network.js'
export * from './run-log.js'
