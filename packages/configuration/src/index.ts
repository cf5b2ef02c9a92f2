/** Templates, customers, quotas, objectives and policy: publishing, checking and applying them. */
export type * from './configuration.js'
export type * from './publisher.js'
