/** The fault matrix and the randomised run on the real decision code. */
export * from './world.js'
export * from './callers.js'
export * from './ledger.js'
