/** Fault matrix and soak run on the production decision code of entries and agents. */
export * from './simulated-fleet.js'
export * from './callers.js'
export * from './run-log.js'
export * from './matrix.js'
export * from './soak.js'
