/** Bounds on what crosses a process boundary. */

/** Most tasks of one job. */
export const MAXIMUM_TASKS_PER_JOB = 2_000
/** Most bytes of one task's input as JSON. */
export const MAXIMUM_TASK_BYTES = 16_384
/** Most bytes of a caller's body. */
export const MAXIMUM_BODY_BYTES = 8_388_608
/** Most bytes of one batch on a link. */
export const MAXIMUM_LINK_BYTES = 33_554_432
/** Most bytes of one answer of an upstream. */
export const MAXIMUM_ANSWER_BYTES = 65_536
