/** Choice of the agent that a task goes to. */
export * from './placement.js'
