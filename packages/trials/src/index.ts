/** Fault matrix and soak run on the production decision code of entries and agents. */
export * from './world.js'
export * from './callers.js'
export * from './ledger.js'
export * from './matrix.js'
export * from './soak.js'
