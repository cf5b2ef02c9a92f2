/** Ejection of upstreams whose runs fail far more often than those of their peers. */
import type { AgentView } from './agent-view.js'
import { EJECTION_FAILURE_SHARE, MAXIMUM_EJECTED_SHARE } from './dispatch-limits.js'

/**
 * Returns the names of the agents of one service to eject: those with the highest failure share, up to
 * `MAXIMUM_EJECTED_SHARE` of all.
 *
 * A job that can never succeed fails on every upstream. That raises the median, so that no upstream is ejected for it.
 *
 * @example
 * findEjectedAgents(views) // Set { 'agent-7' }
 */
export function findEjectedAgents (views: readonly AgentView[]): Set<string> {
  if (!views.some(view => view.load.failureShare >= EJECTION_FAILURE_SHARE)) return new Set()
  const ranked = [...views].sort((left, right) => right.load.failureShare - left.load.failureShare)
  const median = ranked[Math.floor(ranked.length / 2)]?.load.failureShare ?? 0
  const maximumEjected = Math.floor(views.length * MAXIMUM_EJECTED_SHARE)
  const ejected = new Set<string>()
  for (const view of ranked.slice(0, maximumEjected)) {
    if (view.load.failureShare < Math.max(EJECTION_FAILURE_SHARE, 2 * median)) break
    ejected.add(view.name)
  }
  return ejected
}
