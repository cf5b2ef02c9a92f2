/** Identities, error kinds, clock, settings, logs and metrics that every package shares. */
export {}
