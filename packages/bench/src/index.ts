/** Benchmarks with real processes on loopback. */
export {}
