/** Tracks which agents and entries are alive, suspected, leaving or departed. */
export * from './create-membership.js'
export type * from './membership.js'
