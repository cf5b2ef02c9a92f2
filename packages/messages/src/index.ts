/** Schemas of everything that crosses a process boundary: link messages, log records, caller bodies. */
export {}
