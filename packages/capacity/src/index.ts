/** Measures the slopes from which docs/CAPACITY.md works out each role at the target. */
export * from './fit-slope.js'
export * from './probe.js'
export * from './probes/agent-probe.js'
export * from './probes/burn-probe.js'
export * from './probes/configuration-probe.js'
export * from './probes/entry-probe.js'
export * from './probes/link-probe.js'
