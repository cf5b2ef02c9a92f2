/** Publishes, checks and applies templates, customers, quotas, objectives and policies. */
export type * from './configuration.js'
export type * from './publisher.js'
export * from './built-in-policy.js'
export * from './create-configuration.js'
export * from './create-publisher.js'
export * from './sample-configuration.js'
export { MAXIMUM_HISTORY_VERSIONS } from './register-history.js'
