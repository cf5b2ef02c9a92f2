/** Source of random numbers that is passed to decision code, so that a run with the same seed is reproducible. */
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import { uniformInt } from 'pure-rand/distribution/uniformInt'

export interface Random {
  /** Returns a whole number from 0 to `bound - 1`. */
  below: (bound: number) => number
  /** Returns a number from 0 (inclusive) to 1 (exclusive). */
  fraction: () => number
}

const FRACTION_STEPS = 0x40000000

/**
 * Creates a source of random numbers from a seed.
 *
 * @example
 * createRandom(7).below(10)
 */
export function createRandom (seed: number): Random {
  const generator = xoroshiro128plus(seed)
  return {
    below: bound => uniformInt(generator, 0, bound - 1),
    fraction: () => uniformInt(generator, 0, FRACTION_STEPS - 1) / FRACTION_STEPS
  }
}
