/** The operators' command line. */
export * from './commands.js'
export * from './compare-values.js'
export * from './exit-codes.js'
export * from './table.js'
