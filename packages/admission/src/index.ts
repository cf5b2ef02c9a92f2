/** Admission queue of an entry: urgency, quota shares, bounds and deadlines. */
export type * from './waiting-task.js'
export type * from './admission-queue.js'
export * from './create-admission-queue.js'
