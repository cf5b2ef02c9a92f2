/** Sizes of tasks and upstreams, and the arithmetic on them. */
import { Schema } from 'effect'
import { isAmount } from './wire-values.js'

/** Resources that a task requires, or that an upstream provides. */
export interface Size {
  /** Thousandths of a core. */
  readonly processor: number
  /** Megabytes. */
  readonly memory: number
  /** Whole accelerators. */
  readonly accelerators: number
}

function isSize (value: unknown): value is Size {
  if (typeof value !== 'object' || value === null) return false
  const { processor, memory, accelerators } = value as Partial<Record<keyof Size, unknown>>
  return isAmount(processor) && isAmount(memory) && isAmount(accelerators)
}

/** Declared by its check, since every answer and order has a size. */
export const Size = Schema.declare(isSize)

export const EMPTY_SIZE: Size = { processor: 0, memory: 0, accelerators: 0 }

/**
 * Adds two sizes.
 *
 * @example
 * addSizes(reserved, task.size)
 */
export function addSizes (left: Size, right: Size): Size {
  return {
    processor: left.processor + right.processor,
    memory: left.memory + right.memory,
    accelerators: left.accelerators + right.accelerators
  }
}

/**
 * Subtracts `right` from `left`.
 *
 * @example
 * subtractSizes(capacity, reserved) // free capacity
 */
export function subtractSizes (left: Size, right: Size): Size {
  return {
    processor: left.processor - right.processor,
    memory: left.memory - right.memory,
    accelerators: left.accelerators - right.accelerators
  }
}

/**
 * Multiplies a size by a factor.
 *
 * @example
 * scaleSize(capacity, 0.5) // half of it
 */
export function scaleSize (size: Size, factor: number): Size {
  return { processor: size.processor * factor, memory: size.memory * factor, accelerators: size.accelerators * factor }
}

/**
 * Whether a size fits into the free capacity in every dimension.
 *
 * @example
 * fitsInto(task.size, subtractSizes(capacity, reserved))
 */
export function fitsInto (size: Size, free: Size): boolean {
  return size.processor <= free.processor && size.memory <= free.memory && size.accelerators <= free.accelerators
}
