/** Service-level objectives: burn rates over several windows and the error budget left. */
export * from './periods.js'
export * from './burn-recorder.js'
export * from './burn-bucket-store.js'
export * from './merge-buckets.js'
export * from './compute-burn-report.js'
export * from './burn-table.js'
export * from './burn-page.js'
