/** The guards of all servers of a process, which divide one budget. */
import type { ClientReadings, LogFields } from '@baobabpost/common'
import { clientLimitsOf, limitsOfServer, type ProcessLimits } from './client-budget.js'
import { createClientGuard, type ClientGuard } from './client-guard.js'
import { createClosingReport } from './closing-report.js'

export interface ClientGuardsOptions<Name extends string> {
  readonly limits: ProcessLimits
  /** Share of each server in the budget; 1 together. */
  readonly shares: Readonly<Record<Name, number>>
  /** Logs which clients were closed: `server`, `reason`, number of `clients`, `largest` bytes of one. */
  readonly onClosings: (fields: LogFields) => void
  /** Steady clock in milliseconds. */
  readonly now: () => number
}

export interface ClientGuards<Name extends string> {
  readonly guards: Readonly<Record<Name, ClientGuard>>
  readonly readings: () => ClientReadings
}

/** Returns the guard of a server whose process gives it none: the whole budget by the default limits, without logs. */
export function createDefaultGuard (name: string): ClientGuard {
  return createClientGuard({
    name,
    limits: limitsOfServer(clientLimitsOf({ memoryMegabytes: undefined, descriptors: undefined }), 1),
    onClosing: () => {},
    onCheck: () => {},
    now: () => performance.now()
  })
}

/**
 * Creates the guards of a process.
 *
 * @example
 * const { guards } = createClientGuards({ limits, shares: { callers: 0.8, calls: 0.2 }, onClosings, now })
 * guards.callers.serve(server, handle)
 */
export function createClientGuards<Name extends string> (
  options: ClientGuardsOptions<Name>
): ClientGuards<Name> {
  const limits = clientLimitsOf(options.limits)
  const guards = {} as Record<Name, ClientGuard>
  for (const [name, share] of Object.entries(options.shares) as Array<[Name, number]>) {
    const report = createClosingReport(name, options.onClosings)
    guards[name] = createClientGuard({
      name,
      limits: limitsOfServer(limits, share),
      onClosing: (reason, heldBytes) => { report.add(reason, heldBytes, options.now()) },
      onCheck: () => { report.flush(options.now()) },
      now: options.now
    })
  }
  return {
    guards,
    readings: () => {
      const readings = { connections: 0, bytes: 0, maximumConnections: 0, maximumBytes: 0 }
      for (const guard of Object.values<ClientGuard>(guards)) {
        readings.connections += guard.connectionCount()
        readings.bytes += guard.bytes()
        readings.maximumConnections += guard.limits.connections
        readings.maximumBytes += guard.limits.bytes
      }
      return readings
    }
  }
}
