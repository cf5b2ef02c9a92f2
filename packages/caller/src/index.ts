/** A caller of entries, for the demonstration and the benchmark. */
export * from './create-caller.js'
