/** Version of the project; all programs have the same version. */
export const VERSION = '0.1.0'
