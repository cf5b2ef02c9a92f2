/** Which upstreams get no ordinary work because their runs fail far more often than those of their peers. */
import type { AgentView } from './agent-view.js'
import { EJECTION_SHARE, MAXIMUM_EJECTED_SHARE } from './dispatch-limits.js'

/**
 * Names the ejected agents among those of one service: the worst first, and never more than a bounded share.
 *
 * A job that can never be done fails everywhere, so the median rises with it and nobody is ejected.
 *
 * @example
 * findEjected(views) // Set { 'agent-7' }
 */
export function findEjectedAgents (views: readonly AgentView[]): Set<string> {
  const ranked = [...views].sort((left, right) => right.room.failureShare - left.room.failureShare)
  const median = ranked[Math.floor(ranked.length / 2)]?.room.failureShare ?? 0
  const most = Math.floor(views.length * MAXIMUM_EJECTED_SHARE)
  const ejected = new Set<string>()
  for (const view of ranked.slice(0, most)) {
    if (view.room.failureShare < Math.max(EJECTION_SHARE, 2 * median)) break
    ejected.add(view.name)
  }
  return ejected
}
