/** Stand-in for the platform's log, with injectable faults. */
export {}
