/** Version of the project, the same for every binary. */
export const VERSION = '0.1.0'
