/** The operators' command line. */
export * from './commands.js'
export * from './compare-values.js'
export * from './exit-codes.js'
export * from './render-explanation.js'
export * from './render-fleet.js'
export { OperatorCommand } from './operator-command.js'
export * from './table.js'
