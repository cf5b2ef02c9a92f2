/** Dispatcher of an entry: places tasks on agents, moves them after failures, and answers or refuses jobs. */
export * from './agent-view.js'
export * from './create-dispatcher.js'
export * from './ejection.js'
export * from './entry-program.js'
export * from './job.js'
export * from './peer-configuration.js'
export * from './placement.js'
export * from './route-table.js'
