/** Applies the quotas of teams and customers in the registers to the admission queue. */
import type { AdmissionQueue } from '@baobabpost/admission'
import type { Customer, Team } from '@baobabpost/messages'
import type { RegisterChange, RegisterProjection } from '@baobabpost/platform-log'

export interface QuotasOptions {
  readonly projection: RegisterProjection
  readonly queue: AdmissionQueue
}

export interface Quotas {
  applyChanges: (changes: readonly RegisterChange[]) => void
}

export function createQuotas (options: QuotasOptions): Quotas {
  const { projection, queue } = options

  function setCustomers (): void {
    const customers = projection.list('customer').map(register => register.value as Customer)
    queue.setCustomers(customers.map(({ name, team, share, maximumQueuedTasks }) => ({
      customer: name, team, share, maximumQueuedTasks
    })))
  }

  function setTeams (): void {
    const teams = projection.list('team').map(register => register.value as Team)
    queue.setTeams(teams.map(({ name, share, maximumQueuedTasks }) => ({ team: name, share, maximumQueuedTasks })))
  }

  return {
    applyChanges (changes) {
      if (changes.some(change => change.register.startsWith('customer/'))) setCustomers()
      if (changes.some(change => change.register.startsWith('team/'))) setTeams()
    }
  }
}
