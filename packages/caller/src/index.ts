/** HTTP client of entries, for the demonstration and the benchmark. */
export * from './create-caller.js'
