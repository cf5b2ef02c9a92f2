/** Choice of the agent that a task goes to. */
export * from './placement.js'
export * from './create-placement.js'
export * from './assign-waiting.js'
