/** Quotas of teams and customers: their shares, their bounds on waiting tasks, and the tasks that wait now. */
import type { CustomerShare, TeamShare } from './admission-queue.js'
import type { ShareTable } from './waiting-lane.js'
import type { WaitingTask } from './waiting-task.js'

const DEFAULT_SHARE = 1

export interface QuotaTable extends ShareTable {
  setCustomers: (customers: readonly CustomerShare[]) => void
  setTeams: (teams: readonly TeamShare[]) => void
  /** Whether this many further tasks are within the bounds of the customer and of its team. */
  allows: (team: string, customer: string, tasks: number) => boolean
  /** Adds to the number of waiting tasks of the task's team and customer; a negative number subtracts. */
  recordWaiting: (task: Pick<WaitingTask, 'team' | 'customer'>, tasks: number) => void
}

/** Creates a table without quotas, in which all have equal shares and no bounds. */
export function createQuotaTable (): QuotaTable {
  let customerShares = new Map<string, CustomerShare>()
  let teamShares = new Map<string, TeamShare>()
  const waitingByCustomer = new Map<string, number>()
  const waitingByTeam = new Map<string, number>()

  function addToCount (counts: Map<string, number>, name: string, tasks: number): void {
    const sum = (counts.get(name) ?? 0) + tasks
    if (sum > 0) counts.set(name, sum)
    else counts.delete(name)
  }

  return {
    setCustomers: customers => { customerShares = new Map(customers.map(share => [share.customer, share])) },
    setTeams: teams => { teamShares = new Map(teams.map(share => [share.team, share])) },
    teamShare: team => teamShares.get(team)?.share ?? DEFAULT_SHARE,
    customerShare: customer => customerShares.get(customer)?.share ?? DEFAULT_SHARE,
    allows: (team, customer, tasks) => {
      const customerLimit = customerShares.get(customer)?.maximumQueuedTasks ?? Infinity
      if ((waitingByCustomer.get(customer) ?? 0) + tasks > customerLimit) return false
      const teamLimit = teamShares.get(team)?.maximumQueuedTasks ?? Infinity
      return (waitingByTeam.get(team) ?? 0) + tasks <= teamLimit
    },
    recordWaiting: (task, tasks) => {
      addToCount(waitingByCustomer, task.customer, tasks)
      addToCount(waitingByTeam, task.team, tasks)
    }
  }
}
