/** A small fleet for tests, and the callers' side of it. */
import { createSubmissionKey, type SubmissionKey } from '@baobabpost/common'
import {
  callerSecret, publishSampleConfiguration, send, startFleet, waitUntilServing, type CallerAnswer, type Fleet
} from '@baobabpost/demo'
import type { RunningEntry } from '@baobabpost/entry'
import type { JsonRecord } from '@baobabpost/messages'

export const CUSTOMERS = ['medina', 'kalamaja']
export const SLOTS = 4

export async function startSmallFleet (): Promise<Fleet> {
  const fleet = await startFleet({
    failureDomains: ['dakar-1', 'dakar-2', 'dakar-3'],
    agents: [1, 2, 4].map(speed => ({ service: 'lending', speed })),
    slots: SLOTS,
    customers: CUSTOMERS,
    logLevel: 'error'
  })
  await publishSampleConfiguration(fleet)
  await waitUntilServing(fleet)
  return fleet
}

export function createTasks (count: number, workMilliseconds: number): JsonRecord[] {
  return Array.from({ length: count }, (_, index) => ({ tool: `tool-${index}`, member: 'awa', workMilliseconds }))
}

export function submit (
  entry: RunningEntry, submission: SubmissionKey, tasks: readonly unknown[], waitMilliseconds = 20_000
): Promise<CallerAnswer> {
  return send({
    method: 'PUT',
    url: entry.url,
    path: `/v1/submissions/${submission}?waitMilliseconds=${waitMilliseconds}`,
    secret: callerSecret('medina'),
    body: { template: 'reserve-tool', customer: 'medina', tasks }
  })
}

/** Starts of each task over all upstreams. */
export function countStarts (fleet: Fleet): Map<string, number> {
  const starts = new Map<string, number>()
  for (const { upstream } of fleet.upstreams) {
    for (const [task, count] of upstream.starts()) starts.set(task, (starts.get(task) ?? 0) + count)
  }
  return starts
}

export function violations (fleet: Fleet): number {
  const entries = fleet.entries.reduce((sum, entry) => sum + entry.violationCount(), 0)
  return fleet.upstreams.reduce((sum, { agent }) => sum + agent.violations(), entries)
}

export { createSubmissionKey }
