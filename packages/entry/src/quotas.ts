/** Brings the quotas of teams and customers from the registers to the waiting queue. */
import type { AdmissionQueue } from '@baobabpost/admission'
import type { Customer, Team } from '@baobabpost/messages'
import type { RegisterChange, RegisterProjection } from '@baobabpost/platform-log'

/** What the quotas need. */
export interface QuotasOptions {
  readonly fold: RegisterProjection
  readonly queue: AdmissionQueue
}

/** The quotas in force. */
export interface Quotas {
  changed: (changes: readonly RegisterChange[]) => void
}

/** Makes the bridge from registers to the queue's shares. */
export function createQuotas (options: QuotasOptions): Quotas {
  const { fold, queue } = options

  function setCustomers (): void {
    const customers = fold.list('customer').map(register => register.value as Customer)
    queue.setCustomers(customers.map(({ name, team, share, maximumQueuedTasks }) => ({
      customer: name, team, share, maximumQueuedTasks
    })))
  }

  function setTeams (): void {
    const teams = fold.list('team').map(register => register.value as Team)
    queue.setTeams(teams.map(({ name, share, maximumQueuedTasks }) => ({ team: name, share, maximumQueuedTasks })))
  }

  return {
    changed (changes) {
      if (changes.some(change => change.register.startsWith('customer/'))) setCustomers()
      if (changes.some(change => change.register.startsWith('team/'))) setTeams()
    }
  }
}
