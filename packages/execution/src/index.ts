/** The agent's decisions: the fence before a start, slots, windows, the record of what was started. */
export type * from './execution.js'
export * from './start-rules.js'
export * from './share-windows.js'
export * from './create-execution.js'
export * from './urgent-reserve.js'
