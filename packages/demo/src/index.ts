/** The whole fleet in one process on loopback, and the main job run through it. */
export {}
