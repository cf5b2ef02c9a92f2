/**
 * One lane of a service. Teams are served in proportion to their shares, the customers of a team likewise, and the
 * submissions of a customer in order of arrival.
 */
import { createShareScheduler, type ShareFlow, type ShareScheduler } from './share-scheduler.js'
import { chargeMillisecondsOf, groupLength, type TaskGroup } from './task-group.js'
import type { WaitingTask } from './waiting-task.js'

/** Linked list of the waiting groups of one customer. */
interface CustomerFlow extends ShareFlow {
  firstGroup: TaskGroup | undefined
  lastGroup: TaskGroup | undefined
  /** Slot time of the waiting tasks. */
  workMilliseconds: number
}

interface TeamFlow extends ShareFlow {
  readonly scheduler: ShareScheduler<CustomerFlow>
  readonly customers: Map<string, CustomerFlow>
  workMilliseconds: number
}

/** Weights of teams and customers. */
export interface ShareTable {
  teamShare: (team: string) => number
  customerShare: (customer: string) => number
}

export interface WaitingLane {
  /** Counts tasks added to a group. A group that was empty joins its customer's list, at the head if `atHead`. */
  recordAdded: (group: TaskGroup, tasks: readonly WaitingTask[], atHead: boolean) => void
  /** Counts tasks removed from a group. A group that became empty leaves its customer's list. */
  recordRemoved: (group: TaskGroup, tasks: readonly WaitingTask[]) => void
  /** Group whose task is next. */
  first: () => TaskGroup | undefined
  /** Charges the group's team and customer; a negative cost is a refund. */
  charge: (group: TaskGroup, costMilliseconds: number) => void
  /** Reads the weights of all teams and customers again. */
  refreshWeights: () => void
  /** Number of waiting tasks. */
  length: () => number
  /** Slot time of all waiting tasks. */
  workMilliseconds: () => number
  /** Upper bound on the slot time that the lane serves until additional work of the customer is done. */
  workUntilDoneMilliseconds: (team: string, customer: string, addedMilliseconds: number) => number
}

export function createWaitingLane (shares: ShareTable): WaitingLane {
  const scheduler = createShareScheduler<TeamFlow>()
  const teams = new Map<string, TeamFlow>()
  let waitingCount = 0
  let totalWorkMilliseconds = 0
  let nextOrder = 0

  function teamFlow (team: string): TeamFlow {
    let flow = teams.get(team)
    if (flow === undefined) {
      const weight = shares.teamShare(team)
      flow = {
        weight,
        pass: 0,
        position: -1,
        order: nextOrder++,
        scheduler: createShareScheduler(),
        customers: new Map(),
        workMilliseconds: 0
      }
      teams.set(team, flow)
    }
    return flow
  }

  function customerFlow (team: TeamFlow, customer: string): CustomerFlow {
    let flow = team.customers.get(customer)
    if (flow === undefined) {
      const weight = shares.customerShare(customer)
      flow = {
        weight,
        pass: 0,
        position: -1,
        order: nextOrder++,
        firstGroup: undefined,
        lastGroup: undefined,
        workMilliseconds: 0
      }
      team.customers.set(customer, flow)
    }
    return flow
  }

  function link (flow: CustomerFlow, group: TaskGroup, atHead: boolean): void {
    const neighbour = atHead ? flow.firstGroup : flow.lastGroup
    group.previous = atHead ? undefined : neighbour
    group.next = atHead ? neighbour : undefined
    if (neighbour === undefined) {
      flow.firstGroup = group
      flow.lastGroup = group
    } else if (atHead) {
      neighbour.previous = group
      flow.firstGroup = group
    } else {
      neighbour.next = group
      flow.lastGroup = group
    }
  }

  function unlink (flow: CustomerFlow, group: TaskGroup): void {
    if (group.previous === undefined) flow.firstGroup = group.next
    else group.previous.next = group.next
    if (group.next === undefined) flow.lastGroup = group.previous
    else group.next.previous = group.previous
    group.previous = undefined
    group.next = undefined
  }

  function updateTotals (team: TeamFlow, customer: CustomerFlow, tasks: readonly WaitingTask[], sign: 1 | -1): void {
    let changeMilliseconds = 0
    for (const task of tasks) changeMilliseconds += chargeMillisecondsOf(task)
    waitingCount += sign * tasks.length
    totalWorkMilliseconds += sign * changeMilliseconds
    team.workMilliseconds += sign * changeMilliseconds
    customer.workMilliseconds += sign * changeMilliseconds
  }

  return {
    recordAdded: (group, tasks, atHead) => {
      const team = teamFlow(group.team)
      const customer = customerFlow(team, group.customer)
      updateTotals(team, customer, tasks, 1)
      if (groupLength(group) === tasks.length) link(customer, group, atHead)
      team.scheduler.activate(customer)
      scheduler.activate(team)
    },
    recordRemoved: (group, tasks) => {
      const team = teamFlow(group.team)
      const customer = customerFlow(team, group.customer)
      updateTotals(team, customer, tasks, -1)
      if (groupLength(group) > 0) return
      unlink(customer, group)
      if (customer.firstGroup !== undefined) return
      team.scheduler.deactivate(customer)
      if (team.scheduler.first() === undefined) scheduler.deactivate(team)
    },
    first: () => scheduler.first()?.scheduler.first()?.firstGroup,
    charge: (group, costMilliseconds) => {
      const team = teamFlow(group.team)
      scheduler.charge(team, costMilliseconds)
      team.scheduler.charge(customerFlow(team, group.customer), costMilliseconds)
    },
    refreshWeights: () => {
      for (const [name, team] of teams) {
        scheduler.setWeight(team, shares.teamShare(name))
        for (const [customer, flow] of team.customers) team.scheduler.setWeight(flow, shares.customerShare(customer))
      }
    },
    length: () => waitingCount,
    workMilliseconds: () => totalWorkMilliseconds,
    workUntilDoneMilliseconds: (teamName, customerName, addedMilliseconds) => {
      const team = teams.get(teamName)
      const customer = team?.customers.get(customerName)
      const teamWeight = shares.teamShare(teamName)
      const otherTeamsWeight = scheduler.activeWeight() - (team !== undefined && team.position >= 0 ? team.weight : 0)
      const inverseTeamShare = (otherTeamsWeight + teamWeight) / teamWeight
      const customerWeight = shares.customerShare(customerName)
      const activeCustomersWeight = team?.scheduler.activeWeight() ?? 0
      const otherCustomersWeight = activeCustomersWeight -
        (customer !== undefined && customer.position >= 0 ? customer.weight : 0)
      const inverseCustomerShare = (otherCustomersWeight + customerWeight) / customerWeight
      const customerBound = ((customer?.workMilliseconds ?? 0) + addedMilliseconds) * inverseCustomerShare
      const teamBound = Math.min((team?.workMilliseconds ?? 0) + addedMilliseconds, customerBound)
      return Math.min(totalWorkMilliseconds + addedMilliseconds, teamBound * inverseTeamShare)
    }
  }
}
