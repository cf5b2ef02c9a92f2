/** The agent process beside an upstream. */
export {}
