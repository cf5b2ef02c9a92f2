/** Which agents and entries are alive, suspected, leaving or departed. */
export type * from './membership.js'
