/** Client of the platform's append-only log and the registers folded from its records. */
export type * from './register-fold.js'
export type * from './platform-log-client.js'
