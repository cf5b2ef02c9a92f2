/** The whole fleet in one process on loopback, and the main job run through it. */
export * from './caller.js'
export * from './fleet.js'
export * from './ideal-response-time.js'
export * from './demo-workload.js'
