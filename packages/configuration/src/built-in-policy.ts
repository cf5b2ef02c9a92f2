/** The default policy, in force where none was published. */
import type { Policy } from '@baobabpost/messages'

/**
 * Creates the built-in policy with the given name.
 *
 * @example
 * builtInPolicy('lending').placement // 'late-binding'
 */
export function builtInPolicy (name: string): Policy {
  return { name, placement: 'late-binding', prefetchTasks: 2, retryShare: 0.1, hedge: false }
}
