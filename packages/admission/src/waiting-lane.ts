/** One lane of a service: teams by share, in a team customers by share, in a customer submissions in order. */
import { createShareScheduler, type ShareFlow, type ShareScheduler } from './share-scheduler.js'
import { chargeOf, groupLength, type TaskGroup } from './task-group.js'
import type { WaitingTask } from './waiting-task.js'

/** Waiting groups of one customer. */
interface CustomerFlow extends ShareFlow {
  first: TaskGroup | undefined
  last: TaskGroup | undefined
  /** Slot time of the waiting tasks, milliseconds. */
  work: number
}

/** Customers of one team. */
interface TeamFlow extends ShareFlow {
  readonly scheduler: ShareScheduler<CustomerFlow>
  readonly customers: Map<string, CustomerFlow>
  work: number
}

/** Looks up the weights of teams and customers. */
export interface ShareTable {
  teamShare: (team: string) => number
  customerShare: (customer: string) => number
}

/** A lane of waiting tasks. */
export interface WaitingLane {
  /** Notes tasks that were added to a group; a group that was empty is linked, at the head if `ahead`. */
  added: (group: TaskGroup, tasks: readonly WaitingTask[], ahead: boolean) => void
  /** Notes tasks that were taken out of a group; a group that became empty is unlinked. */
  removed: (group: TaskGroup, tasks: readonly WaitingTask[]) => void
  /** The group whose task is next. */
  first: () => TaskGroup | undefined
  /** Charges the flows of the group's customer; a negative cost takes it back. */
  charge: (group: TaskGroup, cost: number) => void
  /** Sets new weights of all flows. */
  reweigh: () => void
  /** Number of waiting tasks. */
  length: () => number
  /** Slot time of all waiting tasks, milliseconds. */
  work: () => number
  /** Bound on the slot time, in milliseconds, that is served before further work of the customer is done. */
  workUntilDone: (team: string, customer: string, work: number) => number
}

/** Makes an empty lane. */
export function createWaitingLane (shares: ShareTable): WaitingLane {
  const scheduler = createShareScheduler<TeamFlow>()
  const teams = new Map<string, TeamFlow>()
  let length = 0
  let work = 0
  let order = 0

  function teamFlow (team: string): TeamFlow {
    let flow = teams.get(team)
    if (flow === undefined) {
      const weight = shares.teamShare(team)
      flow = {
        weight,
        pass: 0,
        position: -1,
        order: order++,
        scheduler: createShareScheduler(),
        customers: new Map(),
        work: 0
      }
      teams.set(team, flow)
    }
    return flow
  }

  function customerFlow (team: TeamFlow, customer: string): CustomerFlow {
    let flow = team.customers.get(customer)
    if (flow === undefined) {
      const weight = shares.customerShare(customer)
      flow = { weight, pass: 0, position: -1, order: order++, first: undefined, last: undefined, work: 0 }
      team.customers.set(customer, flow)
    }
    return flow
  }

  function link (flow: CustomerFlow, group: TaskGroup, ahead: boolean): void {
    const neighbour = ahead ? flow.first : flow.last
    group.previous = ahead ? undefined : neighbour
    group.next = ahead ? neighbour : undefined
    if (neighbour === undefined) {
      flow.first = group
      flow.last = group
    } else if (ahead) {
      neighbour.previous = group
      flow.first = group
    } else {
      neighbour.next = group
      flow.last = group
    }
  }

  function unlink (flow: CustomerFlow, group: TaskGroup): void {
    if (group.previous === undefined) flow.first = group.next
    else group.previous.next = group.next
    if (group.next === undefined) flow.last = group.previous
    else group.next.previous = group.previous
    group.previous = undefined
    group.next = undefined
  }

  function count (team: TeamFlow, customer: CustomerFlow, tasks: readonly WaitingTask[], sign: 1 | -1): void {
    let change = 0
    for (const task of tasks) change += chargeOf(task)
    length += sign * tasks.length
    work += sign * change
    team.work += sign * change
    customer.work += sign * change
  }

  return {
    added: (group, tasks, ahead) => {
      const team = teamFlow(group.team)
      const customer = customerFlow(team, group.customer)
      count(team, customer, tasks, 1)
      if (groupLength(group) === tasks.length) link(customer, group, ahead)
      team.scheduler.activate(customer)
      scheduler.activate(team)
    },
    removed: (group, tasks) => {
      const team = teamFlow(group.team)
      const customer = customerFlow(team, group.customer)
      count(team, customer, tasks, -1)
      if (groupLength(group) > 0) return
      unlink(customer, group)
      if (customer.first !== undefined) return
      team.scheduler.deactivate(customer)
      if (team.scheduler.first() === undefined) scheduler.deactivate(team)
    },
    first: () => scheduler.first()?.scheduler.first()?.first,
    charge: (group, cost) => {
      const team = teamFlow(group.team)
      scheduler.charge(team, cost)
      team.scheduler.charge(customerFlow(team, group.customer), cost)
    },
    reweigh: () => {
      for (const [name, team] of teams) {
        scheduler.reweigh(team, shares.teamShare(name))
        for (const [customer, flow] of team.customers) team.scheduler.reweigh(flow, shares.customerShare(customer))
      }
    },
    length: () => length,
    work: () => work,
    workUntilDone: (teamName, customerName, added) => {
      const team = teams.get(teamName)
      const customer = team?.customers.get(customerName)
      const teamWeight = shares.teamShare(teamName)
      const otherTeams = scheduler.activeWeight() - (team !== undefined && team.position >= 0 ? team.weight : 0)
      const teamStretch = (otherTeams + teamWeight) / teamWeight
      const customerWeight = shares.customerShare(customerName)
      const inTeam = team?.scheduler.activeWeight() ?? 0
      const otherCustomers = inTeam - (customer !== undefined && customer.position >= 0 ? customer.weight : 0)
      const customerStretch = (otherCustomers + customerWeight) / customerWeight
      const byCustomer = ((customer?.work ?? 0) + added) * customerStretch
      const byTeam = Math.min((team?.work ?? 0) + added, byCustomer)
      return Math.min(work + added, byTeam * teamStretch)
    }
  }
}
