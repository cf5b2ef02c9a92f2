/** Client of the platform's append-only log and the registers folded from its records. */
export type * from './register-projection.js'
export type * from './platform-log-client.js'
export * from './log-record-codec.js'
export * from './register-validation.js'
export * from './create-register-projection.js'
export * from './append-queue.js'
export * from './create-platform-log-client.js'
