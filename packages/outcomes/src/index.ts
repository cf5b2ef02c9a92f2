/** Submissions at their owner: the state of each task, whole answers, cancellation, takeover of jobs. */
export type * from './outcomes.js'
export * from './create-outcomes.js'
