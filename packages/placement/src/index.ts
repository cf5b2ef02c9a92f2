/** Choice of the agent that a task goes to: window accounting, speed estimates, ejection of bad workers. */
export {}
