/** The entry process: callers' HTTP, and the slices of an entry wired together. */
export {}
