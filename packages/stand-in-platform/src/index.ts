/** Stand-in for the platform's log, with injectable faults. */
export * from './faults.js'
export type * from './log-store.js'
export * from './stand-in-platform.js'
export * from './stand-in-platform-settings.js'
