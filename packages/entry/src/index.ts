/** The entry process: callers' HTTP, and the slices of an entry wired together. */
export * from './entry-core.js'
export * from './operations.js'
export * from './running-entry.js'
export * from './settings.js'
export { createRoutes } from './routes.js'
export { CONFIGURATION_KINDS } from './routes/register-path.js'
export type { Route } from './http/route.js'
