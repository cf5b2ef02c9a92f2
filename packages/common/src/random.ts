/** Random numbers handed into decision code, so that a seeded run repeats itself. */
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import { uniformInt } from 'pure-rand/distribution/uniformInt'

/** A source of random numbers. */
export interface Random {
  /** A whole number from 0 to `bound - 1`. */
  below: (bound: number) => number
  /** A number from 0 (included) to 1 (excluded). */
  fraction: () => number
}

const FRACTION_STEPS = 0x40000000

/**
 * Makes a seeded source of random numbers.
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
