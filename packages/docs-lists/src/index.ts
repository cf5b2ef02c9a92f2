/** Lists in the docs, written from the code. */
export * from './lists.js'
export * from './markdown.js'
export * from './repository.js'
