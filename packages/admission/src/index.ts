/** Waiting queues of an entry: urgency, quota shares, bounds and deadlines. */
export {}
