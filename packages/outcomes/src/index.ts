/** Submissions at their owner: the state of each task, complete answers, cancellation, takeover of jobs. */
export type * from './outcomes.js'
export * from './create-outcomes.js'
