/** Generates the lists in the docs from the code. */
export * from './lists.js'
export * from './markdown.js'
export * from './repository.js'
