/** Client of the platform's append-only log and the registers folded from its records. */
export {}
