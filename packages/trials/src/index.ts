/** The fault matrix and the randomised run on the real decision code. */
export * from './world.js'
export * from './callers.js'
export * from './ledger.js'
export * from './matrix.js'
export * from './soak.js'
