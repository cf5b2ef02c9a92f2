/** Capacity that is about to serve, after processes were started. */
import type { DispatcherState } from './dispatcher-state.js'

/** Time from the start of an agent or of this entry in which most upstreams are found by their heartbeats. */
const ARRIVAL_MILLISECONDS = 1_000

/** Whether the properties of an upstream are not known yet: it, its agent or this entry has just started. */
export function isAnyUpstreamUnknown ({ agents, startedAt }: DispatcherState, now: number): boolean {
  if (now - startedAt < ARRIVAL_MILLISECONDS) return true
  for (const { profile } of agents.values()) if (profile === undefined || profile.service === '') return true
  return false
}

/**
 * Whether agents that have just started, or that this entry has not heard of since it started, may bring capacity for a
 * service.
 *
 * It answers the load after many processes were stopped at once: callers come back together while a few upstreams are
 * known, and would be refused for the lack of capacity that is there some tens of milliseconds later.
 */
export function isCapacityArriving ({ agents, startedAt }: DispatcherState, service: string, now: number): boolean {
  for (const { profile, incarnationSince } of agents.values()) {
    if (profile?.accepting === true) continue
    if (profile !== undefined && profile.service !== '' && profile.service !== service) continue
    if (now - Math.max(startedAt, incarnationSince) < ARRIVAL_MILLISECONDS) return true
  }
  return false
}
