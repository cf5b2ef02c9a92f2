/** Measures the cost slopes from which docs/CAPACITY.md calculates what each role needs at the target load. */
export * from './fit-slope.js'
export * from './probe.js'
export * from './probes/agent-probe.js'
export * from './probes/burn-probe.js'
export * from './probes/configuration-probe.js'
export * from './probes/entry-probe.js'
export * from './probes/link-probe.js'
