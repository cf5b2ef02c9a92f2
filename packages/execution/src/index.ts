/** The agent's execution logic: start rules, slots, windows, and the memory of started tasks. */
export type * from './execution.js'
export * from './start-rules.js'
export * from './share-windows.js'
export * from './create-execution.js'
export * from './urgent-reserve.js'
