/** The entry's decisions about jobs: placement, refusal, moving work, answers when a job has ended. */
export * from './agent-view.js'
export * from './create-dispatcher.js'
export * from './ejection.js'
export * from './entry-program.js'
export * from './job.js'
export * from './placement.js'
export * from './route-table.js'
