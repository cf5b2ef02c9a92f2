/** Sizes of tasks and upstreams, and the arithmetic on them. */
import { Schema } from 'effect'

/** What a task takes of an upstream, or what an upstream has. */
export const Size = Schema.Struct({
  /** Thousandths of a core. */
  processor: Schema.Number,
  /** Megabytes. */
  memory: Schema.Number,
  /** Whole accelerators. */
  accelerators: Schema.Number
})
export type Size = typeof Size.Type

/** The size of nothing. */
export const EMPTY_SIZE: Size = { processor: 0, memory: 0, accelerators: 0 }

/**
 * Adds two sizes.
 *
 * @example
 * addSizes(booked, task.size)
 */
export function addSizes (left: Size, right: Size): Size {
  return {
    processor: left.processor + right.processor,
    memory: left.memory + right.memory,
    accelerators: left.accelerators + right.accelerators
  }
}

/**
 * Subtracts a size from another.
 *
 * @example
 * subtractSizes(capacity, booked) // what is free
 */
export function subtractSizes (left: Size, right: Size): Size {
  return {
    processor: left.processor - right.processor,
    memory: left.memory - right.memory,
    accelerators: left.accelerators - right.accelerators
  }
}

/**
 * Tells whether a size fits into the free room, in every dimension.
 *
 * @example
 * fitsInto(task.size, subtractSizes(capacity, booked))
 */
export function fitsInto (size: Size, free: Size): boolean {
  return size.processor <= free.processor && size.memory <= free.memory && size.accelerators <= free.accelerators
}
