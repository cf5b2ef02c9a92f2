/** In-process simulation of a fleet with injected time: leased upstreams, an in-memory network, faults and checks. */
export * from './create-fleet.js'
export * from './contended-workload.js'
export * from './counter-workload.js'
export * from './leased-upstream.js'
export type * from './leased-upstream-options.js'
export * from './memory-network.js'
export * from './run-log.js'
export * from './uneven-workload.js'
