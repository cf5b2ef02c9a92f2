/** Run times of an upstream as an agent has learned them, and the time that a task is expected to take there. */
import { Schema } from 'effect'
import { isAmount, UnixTime } from './wire-values.js'

/**
 * Learned run times of one instance of an upstream: a fixed part in milliseconds; the factor on the expected work;
 * spread and tail, the shares of the expected time by which 84 and 95 of 100 runs are longer at most; and the number of
 * runs that this rests on. A tuple, since it is part of every answer of an agent; a later build may append to it.
 */
export const RunTimes = Schema.declare((
  value
): value is readonly [number, number, number, number, number, ...unknown[]] =>
  Array.isArray(value) && value.length >= 5 && value.slice(0, 5).every(isAmount))
export type RunTimes = typeof RunTimes.Type

/** Run times that an agent told of an instance of its upstream. */
export const RememberedRunTimes = Schema.Struct({
  /** Start of the instance, in Unix milliseconds. */
  instance: UnixTime,
  runTimes: RunTimes
})
export type RememberedRunTimes = typeof RememberedRunTimes.Type

/** Named parts of `RunTimes`. */
export interface RunTimeValues {
  /** Part of each run time that does not depend on the work, in milliseconds. */
  readonly fixedMilliseconds: number
  readonly factor: number
  readonly spread: number
  readonly tail: number
  readonly runs: number
}

/** Fixed part before any run: an order, its answer and a listing on one VM. */
export const USUAL_FIXED_MILLISECONDS = 12
/** Spread and tail before any run; the earlier model planned with a margin of 15 %. */
export const USUAL_SPREAD = 0.15
export const USUAL_TAIL = 0.3
/** Largest fixed part, and bounds of a factor; other values come from a faulty process. */
const MAXIMUM_FIXED_MILLISECONDS = 200
const FACTOR_BOUNDS = { minimum: 0.1, maximum: 20 }
const MAXIMUM_SPREAD = 3

function between (value: number, minimum: number, maximum: number): number {
  return Math.min(maximum, Math.max(minimum, value))
}

/** Returns a factor within the bounds; 1 for a value that is no number. */
export function boundFactor (factor: number): number {
  return Number.isFinite(factor) ? between(factor, FACTOR_BOUNDS.minimum, FACTOR_BOUNDS.maximum) : 1
}

/**
 * Returns the parts of learned run times, each within its bounds.
 *
 * @example
 * readRunTimes([6.2, 1.61, 0.08, 0.2, 96]).factor // 1.61
 */
export function readRunTimes ([fixed, factor, spread, tail, runs]: RunTimes): RunTimeValues {
  const boundedSpread = between(spread, 0, MAXIMUM_SPREAD)
  return {
    fixedMilliseconds: between(fixed, 0, MAXIMUM_FIXED_MILLISECONDS),
    factor: boundFactor(factor),
    spread: boundedSpread,
    tail: between(tail, boundedSpread, MAXIMUM_SPREAD),
    runs: Math.max(0, runs)
  }
}
