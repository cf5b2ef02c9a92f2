/** Single calls: retries and hedges within a budget, at most once where marked non-idempotent. */
export {}
