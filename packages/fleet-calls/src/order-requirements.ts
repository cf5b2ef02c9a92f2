/** What a task requires of its upstream, and whether an upstream meets it. Entries plan by it, agents start by it. */
import { fitsInto, type Size } from './size.js'

/** Requirements of a task that any instance of an upstream may meet. */
export interface Requirements {
  /** Service of the job's route; undefined if the order does not state it, as orders of earlier builds. */
  readonly service: string | undefined
  /** Label that the upstream must have. */
  readonly label: string | undefined
  readonly size: Size
}

/** What an upstream says of itself. */
export interface UpstreamProperties {
  readonly service: string
  readonly labels: readonly string[]
  /** Total capacity, whether it is free or not. */
  readonly capacity: Size
}

/** Why an upstream can't run a task, whatever else runs there. */
export type Mismatch = 'service' | 'label' | 'capacity'

/**
 * Returns the first requirement of a task that an upstream does not meet; undefined if it meets all of them.
 *
 * @example
 * findMismatch({ service: 'desk', labels: ['b'], capacity }, { service: 'desk', label: 'a', size }) // 'label'
 */
export function findMismatch (
  { service, labels, capacity }: UpstreamProperties, requirements: Requirements
): Mismatch | undefined {
  if (requirements.service !== undefined && requirements.service !== service) return 'service'
  if (requirements.label !== undefined && !labels.includes(requirements.label)) return 'label'
  return fitsInto(requirements.size, capacity) ? undefined : 'capacity'
}
