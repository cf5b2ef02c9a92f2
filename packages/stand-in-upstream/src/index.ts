/** Stand-in for an upstream, with slots, a speed and injectable faults. */
export * from './upstream-fault.js'
export * from './stand-in-upstream.js'
export * from './stand-in-upstream-settings.js'
