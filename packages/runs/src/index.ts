/** The agent's decisions about runs: capacity reservation, fencing, leases, unanswered orders, the local queue. */
export * from './agent-program.js'
export * from './create-run-registry.js'
export * from './entry-session.js'
export type { RunRegistryPorts } from './run-registry-state.js'
export type { RunRecord, RunState } from './run-record.js'
export * from './slow-start.js'
export * from './upstream.js'
