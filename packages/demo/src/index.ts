/** The whole fleet in one process on loopback, and the main job run through it. */
export * from './caller.js'
export * from './fleet.js'
export * from './ideal.js'
export * from './main-job.js'
