/** The fault matrix and the randomised run on the real decision code. */
export * from './simulated-fleet.js'
export * from './callers.js'
export * from './run-log.js'
export * from './matrix.js'
export * from './soak.js'
