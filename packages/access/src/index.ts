/** Who may call: keys of callers and operators, and TLS from certificate settings. */
export * from './access-key.js'
export * from './access.js'
export * from './key-source.js'
export * from './transport-security.js'
