/** Selects the placement implementation by the name given in the policy. */
import { LateBindingPlacement, type LateBindingOptions } from './late-binding.js'
import type { Placement } from './placement.js'
import { RoundRobinPlacement } from './round-robin.js'
import { TwoChoicesPlacement } from './two-choices.js'

export type PlacementOptions = LateBindingOptions

/**
 * Creates a placement without agents.
 *
 * @example
 * const placement = createPlacement('late-binding', { random, failureDomain: 'dakar-1', prefetchTasks: 2 })
 */
export function createPlacement (name: Placement['name'], options: PlacementOptions): Placement {
  switch (name) {
    case 'late-binding':
      return new LateBindingPlacement(options)
    case 'two-choices':
      return new TwoChoicesPlacement(options.random)
    case 'round-robin':
      return new RoundRobinPlacement()
  }
}
