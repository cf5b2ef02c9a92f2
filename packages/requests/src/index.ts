/** Single calls: retries and hedges within a budget. */
export type * from './requests.js'
export * from './create-requests.js'
