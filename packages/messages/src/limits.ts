/** Size limits of messages between processes. */

export const MAXIMUM_TASKS_PER_JOB = 2_000
/** Maximum size of one task's input as JSON. */
export const MAXIMUM_TASK_BYTES = 16_384
/** Maximum size of a request body sent by a caller. */
export const MAXIMUM_BODY_BYTES = 8_388_608
/** Maximum size of one batch of link messages. */
export const MAXIMUM_LINK_BYTES = 33_554_432
/** Maximum size of one answer of an upstream. */
export const MAXIMUM_ANSWER_BYTES = 65_536
