/** The agent's decisions about runs: capacity booking, fencing, leases, orders without an answer, the local queue. */
export * from './agent-program.js'
export * from './create-run-registry.js'
export * from './entry-session.js'
export type { RunRegistryPorts as RunRegistryPorts } from './run-registry-state.js'
export type { RunRecord, RunState } from './run-record.js'
export * from './upstream.js'
