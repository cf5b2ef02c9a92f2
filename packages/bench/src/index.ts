/** Benchmarks with real processes on loopback, and simulations of admission and placement with a simulated clock. */
export * from './decision-run/decision-run.js'
export * from './decision-run/summary.js'
export type * from './decision-run/model-agent.js'
export type * from './decision-run/model-entry.js'
