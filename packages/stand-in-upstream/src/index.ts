/** Stand-in for an upstream with slots, a speed and injectable faults. */
export {}
