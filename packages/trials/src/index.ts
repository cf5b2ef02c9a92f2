/** The fault matrix and the randomised run on the real decision code. */
export {}
