/** Benchmarks: real processes on loopback, and the decisions alone with injected time. */
export * from './decision-run/decision-run.js'
export * from './decision-run/summary.js'
export type * from './decision-run/model-agent.js'
export type * from './decision-run/model-entry.js'
