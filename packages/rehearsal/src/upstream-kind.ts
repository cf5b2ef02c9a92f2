/** The kind of a stand-in upstream, which may differ between its instances. */
import { EMPTY_SIZE, findMismatch } from '@baobabpost/fleet-calls'
import type { LeasedUpstreamOptions, StandInTask, UpstreamKind } from './leased-upstream-options.js'

export interface UpstreamKinds {
  /** Returns the kind of the present instance. */
  current: () => UpstreamKind
  /** Sets the kind of the instances after the present one. */
  setNext: (fields: Partial<UpstreamKind>) => void
  /** Begins the next instance. */
  advance: () => void
  /** Tells the observer if the present instance does not meet the requirements of a task that it starts. */
  check: (task: string, standInTask: StandInTask) => void
}

/**
 * Creates the kinds of a stand-in, of which the first has the service and the labels of the options.
 *
 * @example
 * const kinds = createUpstreamKinds({ name: 'u-1', service: 'desk', labels: ['a'], observer })
 */
export function createUpstreamKinds (
  { name, service, labels = [], observer }: Pick<LeasedUpstreamOptions, 'name' | 'service' | 'labels' | 'observer'>
): UpstreamKinds {
  let kind: UpstreamKind = { service, labels }
  let next = kind
  return {
    current: () => kind,
    setNext: fields => { next = { ...kind, ...fields } },
    advance: () => { kind = next },
    check: (task, { requires }) => {
      if (requires === undefined) return
      const requirements = { service: requires.service, label: requires.label, size: EMPTY_SIZE }
      const mismatch = findMismatch({ ...kind, capacity: EMPTY_SIZE }, requirements)
      if (mismatch !== undefined) observer.startedUnsuitably?.(name, task, mismatch)
    }
  }
}
