/** Authenticates and authorizes callers and operators by keys, and reads TLS certificates. */
export * from './access-key.js'
export * from './access.js'
export * from './key-source.js'
export * from './transport-security.js'
