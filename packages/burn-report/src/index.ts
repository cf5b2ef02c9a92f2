/** Service-level objectives: burn rates over several windows and the error budget left. */
export {}
