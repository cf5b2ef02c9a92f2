/** The agent process beside an upstream. */
export type * from './running-agent.js'
